// Package mgmetric serves a process's metrics to operators: counters, gauges and
// histograms of go-metrics, as JSON or in the Prometheus text format.
package mgmetric

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// reservoirSize is the number of values that a histogram keeps, and decayAlpha
// is the weight of recent ones; both are the usual values of go-metrics for the
// exponentially decaying sample (Cormode et al. 2009).
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// namePrefix precedes each name in the Prometheus text format.
const namePrefix = "marjoramgauge_"

// A Set contains the metrics of one process. Create it with New; the zero Set is
// not usable.
type Set struct {
	registry metrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Counter returns the counter with that name, creating it if necessary.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Gauge returns the gauge with that name, creating it if necessary.
func (s *Set) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, s.registry)
}

// Histogram returns the histogram with that name, creating it if necessary. Its
// values are in ms.
func (s *Set) Histogram(name string) metrics.Histogram {
	return s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}).(metrics.Histogram)
}

// ServeHTTP writes the metrics as JSON, or in the Prometheus text format if the
// scraper accepts text/plain or requests format=text.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") == "text" || strings.Contains(r.Header.Get("Accept"), "text/plain") {
		s.serveText(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}

func (s *Set) serveText(w http.ResponseWriter, r *http.Request) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{registry: s.registry})
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}

// collector exposes a go-metrics registry as a prometheus.Collector.
type collector struct {
	registry metrics.Registry
}

// Describe sends nothing: the metrics are discovered when they are collected.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current value of each metric.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, value any) {
		switch m := value.(type) {
		case metrics.Counter:
			out <- newConstMetric(name, prometheus.CounterValue, float64(m.Count()))
		case metrics.Gauge:
			out <- newConstMetric(name, prometheus.GaugeValue, float64(m.Value()))
		case metrics.Histogram:
			out <- newSummary(name, m.Snapshot())
		}
	})
}

func newDesc(name string) *prometheus.Desc {
	return prometheus.NewDesc(namePrefix+strings.ReplaceAll(name, ".", "_"), name, nil, nil)
}

func newConstMetric(name string, kind prometheus.ValueType, value float64) prometheus.Metric {
	return prometheus.MustNewConstMetric(newDesc(name), kind, value)
}

func newSummary(name string, h metrics.Histogram) prometheus.Metric {
	quantiles := map[float64]float64{}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		quantiles[q] = h.Percentile(q)
	}
	return prometheus.MustNewConstSummary(newDesc(name), uint64(h.Count()), float64(h.Sum()), quantiles)
}
