package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Host is the metrics of a host on the platform's path.
type Host struct {
	set *Set

	// Calls counts clients' calls by what came of them, Refused those that
	// were turned away at the door, by reason.
	Calls   *prometheus.CounterVec
	Refused *prometheus.CounterVec
	// Orders counts calls of workers, by kind and outcome.
	Orders *prometheus.CounterVec
	Epoch  *prometheus.GaugeVec
	// Version is that of the configuration in force.
	Version  prometheus.Gauge
	Takeover prometheus.Histogram
}

// NewHost returns a Host on a registry of its own.
func NewHost() *Host {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	s := &Set{registry: r}
	return &Host{
		set:      s,
		Calls:    s.counters("calls_total", "Calls of clients, by what came of them.", "call", "verdict"),
		Refused:  s.counters("refused_total", "Calls of clients turned away, by reason.", "reason"),
		Orders:   s.counters("worker_orders_total", "Calls of workers, by outcome.", "order", "outcome"),
		Epoch:    s.gauges("pool_epoch", "Epoch under which this host decides for a pool, 0 if it doesn't.", "pool"),
		Version:  s.gauge("configuration_version", "Version of the configuration in force."),
		Takeover: s.histogram("takeover_seconds", "Time from taking a pool to its first decision.", waitBuckets),
	}
}

// Handler serves the metrics.
func (h *Host) Handler() http.Handler { return h.set.Handler() }
