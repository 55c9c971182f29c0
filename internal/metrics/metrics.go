// Package metrics keeps the counters, gauges and duration histograms of one
// instance and serves them over HTTP in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	namePrefix = "turmericfield_" // of every metric's name
	// sampleSize and sampleDecay are the usual parameters of an exponentially
	// decaying sample, which favours the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// quantiles are those served of each histogram.
var quantiles = []float64{0.5, 0.99, 0.999}

// Set is the metrics of one instance. It is safe for concurrent use.
type Set struct {
	registry gometrics.Registry
}

// New returns an empty set with the gauges of the Go runtime.
func New() *Set {
	s := &Set{registry: gometrics.NewRegistry()}
	s.Gauge("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	s.Gauge("heap_bytes", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	})
	return s
}

// Add adds n to a counter, which starts at 0 with its first use. The name may have a
// label, as Label returns it.
func (s *Set) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// Observe records a duration in a histogram, which starts with its first use. The
// name may have a label, as Label returns it.
func (s *Set) Observe(name string, d time.Duration) {
	s.registry.GetOrRegister(name, newDurationHistogram).(gometrics.Histogram).Update(d.Microseconds())
}

func newDurationHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// Gauge registers a value that is read whenever the metrics are served. It has no
// effect if the name is already in use.
func (s *Set) Gauge(name string, read func() int64) {
	_ = s.registry.Register(name, gometrics.NewFunctionalGauge(read))
}

// Label returns the name of a metric with one label, name{key="value"}.
func Label(name, key, value string) string {
	return fmt.Sprintf("%s{%s=%q}", name, key, value)
}

// ServeHTTP implements http.Handler.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = io.WriteString(w, s.Text())
}

// Text returns all metrics in the Prometheus text format, sorted by name. Durations
// are in microseconds.
func (s *Set) Text() string {
	var lines []string
	s.registry.Each(func(name string, metric any) {
		lines = append(lines, render(name, metric)...)
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// render returns the lines of one metric.
func render(name string, metric any) []string {
	switch m := metric.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s%s %d\n", namePrefix, name, m.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s%s %d\n", namePrefix, name, m.Value())}
	case gometrics.Histogram:
		return renderHistogram(name, m.Snapshot())
	}
	return nil
}

// renderHistogram returns the lines of a histogram: the number of durations under
// the name with the suffix _us_count, and each of quantiles in microseconds under
// the name with the suffix _us.
func renderHistogram(name string, h gometrics.Histogram) []string {
	baseName, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	lines := []string{fmt.Sprintf("%s%s_us_count%s %d\n", namePrefix, baseName, joinLabels(labels, ""), h.Count())}
	for i, value := range h.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=\"%g\"", quantiles[i])
		lines = append(lines, fmt.Sprintf("%s%s_us%s %.0f\n", namePrefix, baseName, joinLabels(labels, quantile), value))
	}
	return lines
}

// joinLabels returns the labels of a metric in braces, or "" if there are none.
func joinLabels(labels, quantileLabel string) string {
	switch {
	case labels == "" && quantileLabel == "":
		return ""
	case labels == "" || quantileLabel == "":
		return "{" + labels + quantileLabel + "}"
	}
	return "{" + labels + "," + quantileLabel + "}"
}
