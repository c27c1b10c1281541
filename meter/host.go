package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Host holds the metrics of a host that runs with the settings of package platform.
type Host struct {
	metrics *Set

	// Calls counts clients' calls by call and verdict, Refused those that were refused
	// before they were processed, by reason.
	Calls   *prometheus.CounterVec
	Refused *prometheus.CounterVec
	// ConnsClosed counts connections that were closed for the limit, by listener and reason.
	ConnsClosed *prometheus.CounterVec
	// Submitted counts submissions by account and verdict.
	Submitted *prometheus.CounterVec
	// StoreCalls counts calls to the platform's store, by call and outcome, and
	// StoreTime is how long they took, in seconds.
	StoreCalls *prometheus.CounterVec
	StoreTime  *prometheus.HistogramVec
	// Malformed counts rows of other writers that can't be decoded or used, by source.
	Malformed *prometheus.CounterVec
	// Panics counts units of work that a panic ended, by unit.
	Panics *prometheus.CounterVec
	// Relayed counts store calls that went through other hosts, by outcome.
	Relayed *prometheus.CounterVec
	// Orders counts calls to workers, by order and outcome, OrdersInFlight those that
	// have no answer yet. OrderWait is the time from the decision to the call, OrderTime
	// the duration of the call, which for a hold includes its wait; both in seconds.
	Orders               *prometheus.CounterVec
	OrdersInFlight       *prometheus.GaugeVec
	OrderWait, OrderTime *prometheus.HistogramVec
	// GangStart is the time from a gang's first order to the last answer, in
	// seconds. Stalled counts the seconds for which the process was stalled. PoolEpoch
	// is the epoch under which this host decides for a pool, 0 if it doesn't.
	GangStart prometheus.Histogram
	Stalled   prometheus.Counter
	PoolEpoch *prometheus.GaugeVec
	// WorkerSpeeds holds, under the labels Slowest and Fastest, the extreme speeds of workers as
	// learnt by a decider, relative to a typical worker, and KnownSpeeds how many are known.
	WorkerSpeeds *prometheus.GaugeVec
	KnownSpeeds  prometheus.Gauge
	// Waits counts reports of jobs of which nothing runs although there is room, by cause.
	Waits *prometheus.CounterVec
	// RunEnds counts runs of tasks by how they ended.
	RunEnds *prometheus.CounterVec
	// EvacuatedDataCentres is the number of data centres that the operator evacuates.
	// StartsWithdrawn counts decided starts that were given up, by reason.
	EvacuatedDataCentres prometheus.Gauge
	StartsWithdrawn      *prometheus.CounterVec
	// FirstStart is the time from a job's acceptance to its first start, JobTime that to
	// its end, both in seconds. JobsEnded counts ended jobs by queue and final state.
	FirstStart, JobTime *prometheus.HistogramVec
	JobsEnded           *prometheus.CounterVec
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion prometheus.Gauge
	// Takeover is the time from acquiring a pool to the first decision, in seconds.
	Takeover prometheus.Histogram
}

// NewHost returns a Host with a registry of its own. dropped returns the number of dropped log
// lines.
func NewHost(dropped func() int64) *Host {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s := &Set{registry: r}
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines left out as nobody read them in time.",
	}, func() float64 { return float64(dropped()) }))
	return &Host{
		metrics:              s,
		Calls:                s.counters("calls_total", "Calls of clients, by what came of them.", "call", "verdict"),
		Submitted:            s.counters("submissions_total", "Submissions by account and what came of them.", "account", "verdict"),
		Refused:              s.counters("refused_total", "Calls of clients rejected, by reason.", "reason"),
		ConnsClosed:          s.counters("connections_closed_total", "Connections closed for the limit, by reason.", "listener", "reason"),
		Orders:               s.counters("worker_orders_total", "Calls of workers, by outcome.", "order", "outcome"),
		OrdersInFlight:       s.gauges("worker_orders_under_way", "Calls of workers without an answer yet.", "order"),
		OrderWait:            s.histograms("worker_order_wait_seconds", "Time from a decision to the call of the worker.", "order"),
		OrderTime:            s.histograms("worker_order_seconds", "Time that calls of workers took.", "order"),
		GangStart:            s.histogram("gang_start_seconds", "Time from the first order of a gang until all its members are confirmed.", waitBuckets),
		Stalled:              s.counter("stalled_seconds_total", "Time for which the process was stalled, as its processor was late."),
		StoreCalls:           s.counters("store_calls_total", "Calls of the platform's store, by outcome.", "call", "outcome"),
		StoreTime:            s.histograms("store_call_seconds", "Time that calls of the platform's store took.", "call"),
		Malformed:            s.counters("malformed_total", "Rows of other writers that can't be used, by source.", "source"),
		Panics:               s.counters("panics_total", "Units of work that a panic ended.", "unit"),
		Relayed:              s.counters("store_calls_relayed_total", "Calls of the platform's store through other hosts, by outcome.", "outcome"),
		Waits:                s.counters("waits_with_room_total", "Reports of jobs with nothing running although there is room, by cause.", "cause"),
		RunEnds:              s.counters("run_ends_total", "Runs of tasks by how they ended.", "how"),
		EvacuatedDataCentres: s.gauge("evacuated_data_centres", "Data centres in which no task may start, as the operator evacuates them."),
		StartsWithdrawn:      s.counters("starts_withdrawn_total", "Decided starts that were given up, by reason.", "reason"),
		FirstStart:           s.histograms("first_start_seconds", "Time from a job's acceptance to its first start.", "queue"),
		JobTime:              s.histograms("job_seconds", "Time from a job's acceptance to its end.", "queue"),
		JobsEnded:            s.counters("jobs_ended_total", "Jobs by how they ended.", "queue", "state"),
		WorkerSpeeds:         s.gauges("worker_speed", "Slowest and fastest learnt speed of a worker, relative to a typical one.", "which"),
		KnownSpeeds:          s.gauge("workers_with_known_speed", "Workers whose speed was learnt, in a pool of unequal workers."),
		PoolEpoch:            s.gauges("pool_epoch", "Epoch under which this host decides for a pool, 0 if it doesn't.", "pool"),
		ConfigVersion:        s.gauge("configuration_version", "Version of the configuration in force."),
		Takeover:             s.histogram("takeover_seconds", "Time from taking a pool to its first decision.", waitBuckets),
	}
}

// RegisterConfigAge registers a gauge of the age of the newest confirmation of the
// configuration, in seconds, that is read from age.
func (h *Host) RegisterConfigAge(age func() float64) {
	h.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "configuration_age_seconds", Help: "Age of the newest confirmation of the configuration.",
	}, age))
}

// RegisterBytes registers gauges of the bytes that requests of a kind hold, and of their limit.
func (h *Host) RegisterBytes(kind string, used, limit func() int64) {
	h.metrics.RegisterBytes(kind, used, limit)
}

// RegisterConnections registers gauges of the open connections of a listener, and of their limit.
func (h *Host) RegisterConnections(listener string, open, limit func() int) {
	h.metrics.RegisterConnections(listener, open, limit)
}

// Handler returns the handler that serves the metrics.
func (h *Host) Handler() http.Handler { return h.metrics.Handler() }
