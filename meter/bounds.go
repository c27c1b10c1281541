package meter

import "github.com/prometheus/client_golang/prometheus"

// RegisterBytes registers gauges of the bytes that requests of a kind, Client or Host, hold, and of
// their limit.
func (s *Set) RegisterBytes(kind string, used, limit func() int64) {
	s.gaugeFunc("request_bytes", "Bytes that requests hold, by kind of sender.", "kind", kind, func() float64 { return float64(used()) })
	s.gaugeFunc("request_bytes_limit", "Bytes that requests may hold, by kind of sender.", "kind", kind, func() float64 { return float64(limit()) })
}

// RegisterConnections registers gauges of the open connections of a listener, and of their limit.
func (s *Set) RegisterConnections(listener string, open, limit func() int) {
	s.gaugeFunc("connections", "Open connections, by listener.", "listener", listener, func() float64 { return float64(open()) })
	s.gaugeFunc("connections_limit", "Connections that may be open, by listener.", "listener", listener, func() float64 { return float64(limit()) })
}

// gaugeFunc registers a gauge with one label, whose value is read from f.
func (s *Set) gaugeFunc(name, help, label, value string, f func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value},
	}, f))
}
