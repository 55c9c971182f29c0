package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros      = 120_000_000 // longer latencies are recorded as this
	significantDigits     = 3           // of the histograms' values
	percentileMedian      = 50
	percentileTail        = 99
	percentileExtremeTail = 99.9
	microsPerMilli        = 1000.0
	percent               = 100.0
)

// Latency summarizes the latencies of answered requests: their number, and percentiles
// and maximum in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// WorkspaceReport summarizes the requests of one workspace.
type WorkspaceReport struct {
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	Latency  Latency `json:"latency"`
}

// Report is the result of a run.
type Report struct {
	// Seconds is the time from the start to the end of the last request.
	Seconds float64 `json:"seconds"`
	// Sent counts the requests that were sent at least once, each once.
	Sent int64 `json:"sent"`
	// Unsent counts the requests that were left out because too many others were in
	// flight.
	Unsent   int64             `json:"unsent"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	// UnansweredByReason counts the requests that were not answered, by the reason of
	// their last send.
	UnansweredByReason map[string]int64 `json:"refusals"`
	// Classes and Requests hold the latencies by the class of the route and by the name
	// of the request.
	Classes    map[string]Latency          `json:"classes"`
	Requests   map[string]Latency          `json:"requests"`
	Workspaces map[string]*WorkspaceReport `json:"workspaces"`
	// Instances counts the requests by the instance, as IP:port, that they were sent to
	// last.
	Instances map[string]int64 `json:"instances"`
	// Resent counts the sends of requests after their first ones.
	Resent int64 `json:"resent"`

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram // in microseconds; by kind and name, such as "class bulk"
}

// newReport returns an empty report with all workspaces of the mix.
func newReport(o Options) *Report {
	r := &Report{
		Outcomes: map[Outcome]int64{}, UnansweredByReason: map[string]int64{}, Classes: map[string]Latency{},
		Requests: map[string]Latency{}, Workspaces: map[string]*WorkspaceReport{}, Instances: map[string]int64{},
		histograms: map[string]*hdrhistogram.Histogram{},
	}
	for _, w := range o.Mix.Workspaces {
		r.Workspaces[w.Name] = &WorkspaceReport{}
	}
	return r
}

// countUnsent counts a request that was left out.
func (r *Report) countUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Unsent++
}

// record counts a request that has ended. If it was answered, its latency goes into
// the histograms of its class, its name and its workspace.
func (r *Report) record(request Request, workspace Workspace, res result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.Outcomes[res.outcome]++
	r.Resent += int64(max(res.sends-1, 0))
	if res.instance != "" {
		r.Instances[res.instance]++
	}
	workspaceReport := r.Workspaces[workspace.Name]
	workspaceReport.Sent++
	if res.outcome != Answered {
		r.UnansweredByReason[res.reason]++
		return
	}
	workspaceReport.Answered++
	for _, histogramKey := range []string{"class " + string(request.Class), "request " + request.Name, "workspace " + workspace.Name} {
		_ = r.histogram(histogramKey).RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
}

// histogram returns the histogram of a key, and creates it if there is none.
func (r *Report) histogram(key string) *hdrhistogram.Histogram {
	h := r.histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
		r.histograms[key] = h
	}
	return h
}

// finish computes the latencies from the histograms at the end of a run.
func (r *Report) finish(elapsed time.Duration) *Report {
	r.Seconds = elapsed.Seconds()
	for key, h := range r.histograms {
		kind, label, _ := strings.Cut(key, " ")
		latency := Latency{
			Count: h.TotalCount(),
			P50:   float64(h.ValueAtPercentile(percentileMedian)) / microsPerMilli,
			P99:   float64(h.ValueAtPercentile(percentileTail)) / microsPerMilli,
			P999:  float64(h.ValueAtPercentile(percentileExtremeTail)) / microsPerMilli,
			Max:   float64(h.Max()) / microsPerMilli,
		}
		switch kind {
		case "class":
			r.Classes[label] = latency
		case "request":
			r.Requests[label] = latency
		case "workspace":
			r.Workspaces[label].Latency = latency
		}
	}
	return r
}

// WorstWorkspace returns the workspace with the smallest share of answered requests,
// and that share, 0 to 1.
func (r *Report) WorstWorkspace() (name string, share float64) {
	share = 1
	for _, candidate := range slices.Sorted(maps.Keys(r.Workspaces)) {
		w := r.Workspaces[candidate]
		if w.Sent > 0 && float64(w.Answered)/float64(w.Sent) <= share {
			name, share = candidate, float64(w.Answered)/float64(w.Sent)
		}
	}
	return name, share
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d requests in %.1f s, %d unsent, %d resent\n", r.Sent, r.Seconds, r.Unsent, r.Resent)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "  %s: %d\n", outcome, r.Outcomes[outcome])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.UnansweredByReason)) {
		fmt.Fprintf(w, "  not answered, %s: %d\n", reason, r.UnansweredByReason[reason])
	}
	writeLatencies(w, "class", r.Classes)
	writeLatencies(w, "request", r.Requests)
	for _, name := range slices.Sorted(maps.Keys(r.Workspaces)) {
		workspaceReport := r.Workspaces[name]
		fmt.Fprintf(w, "workspace %s: %d of %d answered, p99 %.1f ms\n", name, workspaceReport.Answered, workspaceReport.Sent, workspaceReport.Latency.P99)
	}
	for _, instance := range slices.Sorted(maps.Keys(r.Instances)) {
		fmt.Fprintf(w, "instance %s: %d\n", instance, r.Instances[instance])
	}
	if name, share := r.WorstWorkspace(); name != "" {
		fmt.Fprintf(w, "worst-served workspace: %s, %.1f%% answered\n", name, share*percent)
	}
}

// writeLatencies writes a line for each latency, in the order of their names.
func writeLatencies(w io.Writer, kind string, latencies map[string]Latency) {
	for _, name := range slices.Sorted(maps.Keys(latencies)) {
		l := latencies[name]
		fmt.Fprintf(w, "%s %s: %d answered, p50 %.1f, p99 %.1f, p99.9 %.1f, max %.1f ms\n", kind, name, l.Count, l.P50, l.P99, l.P999, l.Max)
	}
}
