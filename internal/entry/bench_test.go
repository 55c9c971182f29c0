package entry

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// benchDeadline is the time limit of each request. It is long enough not to
// matter.
const benchDeadline = 10 * time.Second

// BenchmarkProxy measures the latency of one request to a target that responds at
// once: directly as the baseline, and through an instance over a pooled
// connection, over a new one, and over a new one with a claim of the request's
// id. It reports the median and the 99th percentile in microseconds.
func BenchmarkProxy(b *testing.B) {
	s := newSystem(b, target.Options{Slots: 1000, AnswerBytes: 512}, benchDeadline)
	direct := s.handlers[0].Snapshot().Services["reads"].Targets[0].Address
	for _, c := range []struct{ name, address, path string }{
		{"direct", direct, "/reads/1"},
		{"pooled", s.addresses[0], "/reads/1"},
		{"unpooled", s.addresses[0], "/writes/1"},
	} {
		b.Run(c.name, func(b *testing.B) { benchRequests(b, c.address, c.path, false) })
	}
	b.Run("unpooled-claimed", func(b *testing.B) { benchRequests(b, s.addresses[0], "/writes/1", true) })
}

// benchRequests sends b.N requests one after the other, each with a request id of
// its own if withID is set.
func benchRequests(b *testing.B, address, path string, withID bool) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	latencies := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		r.Header.Set(KeyHeader, testKey)
		if withID {
			r.Header.Set(RequestIDHeader, strconv.FormatInt(time.Now().UnixNano(), 36)+"-"+strconv.Itoa(i))
		}
		start := time.Now()
		response, err := transport.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		latencies = append(latencies, time.Since(start))
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}
