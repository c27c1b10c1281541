// Package meter defines the Prometheus metrics of a host.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "citronbridge"

// Set holds the metrics of a host that runs with the settings of package config.
type Set struct {
	registry *prometheus.Registry

	// Completion is the time from acceptance to outcome, Wait the time from
	// acceptance to the start of the whole gang, both in seconds.
	Completion       *prometheus.HistogramVec
	Wait             *prometheus.HistogramVec
	Outcomes         *prometheus.CounterVec
	Refusals         *prometheus.CounterVec
	Retries          *prometheus.CounterVec
	Preempted        *prometheus.CounterVec
	Orders           *prometheus.CounterVec
	StoreCalls       *prometheus.CounterVec
	PeerCalls        *prometheus.CounterVec
	Malformed        *prometheus.CounterVec
	Breaker          *prometheus.GaugeVec
	Epoch            *prometheus.GaugeVec
	CellJobs         *prometheus.GaugeVec
	CellAccelerators *prometheus.GaugeVec
	Revision         prometheus.Gauge
	Peers            prometheus.Gauge
	Decision         prometheus.Histogram
	Takeover         prometheus.Histogram
	// ConnsClosed counts connections that were closed for a limit, by listener and reason.
	ConnsClosed *prometheus.CounterVec
}

// waitBuckets are in seconds, from the duration of a call to a day.
var waitBuckets = []float64{.01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300, 900, 3600, 14400, 86400}

// decisionBuckets are in seconds, from 100 microseconds to 2.5 s.
var decisionBuckets = []float64{.0001, .00025, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}

// New returns a Set with a registry of its own.
func New() *Set {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s := &Set{registry: r}
	s.Completion = s.histograms("completion_seconds", "Time from acceptance to outcome.", "account", "kind")
	s.Wait = s.histograms("wait_seconds", "Time from acceptance to the start of the gang.", "account", "kind")
	s.Outcomes = s.counters("outcomes_total", "Jobs ended, by outcome.", "account", "kind", "outcome")
	s.Refusals = s.counters("refusals_total", "Requests refused, by reason.", "account", "reason")
	s.Retries = s.counters("attempt_retries_total", "Attempts repeated.", "account")
	s.Preempted = s.counters("preemptions_total", "Jobs stopped to reclaim a guarantee, by who lost.", "account")
	s.Orders = s.counters("target_orders_total", "Orders to targets, by result.", "action", "result")
	s.StoreCalls = s.counters("store_calls_total", "Calls of the table service, by result.", "call", "result")
	s.PeerCalls = s.counters("peer_calls_total", "Calls of other hosts, by result.", "call", "result")
	s.Malformed = s.counters("malformed_total", "Messages dropped as malformed, by source.", "source")
	s.ConnsClosed = s.counters("connections_closed_total", "Connections closed for a limit, by listener and reason.", "listener", "reason")
	s.Breaker = s.gauges("breaker_open", "1 while calls of a service are held back.", "service")
	s.Epoch = s.gauges("cell_epoch", "Epoch under which this host decides for a cell, 0 if it doesn't.", "cell")
	s.CellJobs = s.gauges("cell_jobs", "Jobs of a cell, by state.", "cell", "state")
	s.CellAccelerators = s.gauges("cell_accelerators", "Accelerators of a cell, by use.", "cell", "use")
	s.Revision = s.gauge("manifest_revision", "Revision of the manifest in force.")
	s.Peers = s.gauge("peers_live", "Other hosts whose heartbeats arrive.")
	s.Decision = s.histogram("decision_seconds", "Processor time of one placement decision.", decisionBuckets)
	s.Takeover = s.histogram("takeover_seconds", "Time from taking a cell to its first decision.", waitBuckets)
	return s
}

func (s *Set) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	s.registry.MustRegister(c)
	return c
}

func (s *Set) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	s.registry.MustRegister(c)
	return c
}

func (s *Set) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	c := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	s.registry.MustRegister(c)
	return c
}

func (s *Set) gauge(name, help string) prometheus.Gauge {
	c := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	s.registry.MustRegister(c)
	return c
}

func (s *Set) histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	c := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: waitBuckets}, labels)
	s.registry.MustRegister(c)
	return c
}

func (s *Set) histogram(name, help string, buckets []float64) prometheus.Histogram {
	c := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	s.registry.MustRegister(c)
	return c
}

// Handler returns the handler that serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
