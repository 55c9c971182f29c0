package metrics

import (
	"strings"
	"testing"
	"time"
)

// TestTextListsEveryMetric checks the names, labels and units of a counter, a gauge
// and a histogram in the served text.
func TestTextListsEveryMetric(t *testing.T) {
	s := New()
	s.Add(Label("refusals_total", "reason", "rate"), 2)
	s.Gauge("members", func() int64 { return 7 })
	s.Observe(Label("request", "class", "bulk"), 3*time.Millisecond)
	text := s.Text()
	for _, want := range []string{
		"turmericfield_refusals_total{reason=\"rate\"} 2\n",
		"turmericfield_members 7\n",
		"turmericfield_request_us_count{class=\"bulk\"} 1\n",
		"turmericfield_request_us{class=\"bulk\",quantile=\"0.99\"} 3000\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the text lacks %q:\n%s", want, text)
		}
	}
}
