package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/turmericfield/turmericfield/internal/standin/responseheads"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

func TestPollTakesBackWhatATargetSaysInItsHeader(t *testing.T) {
	for name, settings := range map[string]target.Settings{
		"serving": {}, "leaving, by the header only": {Leaving: true}, "leaving": {Draining: true},
	} {
		backend := target.New(target.Options{Slots: 3})
		backend.SetSettings(settings)
		server := httptest.NewServer(backend)
		report, err := pollTarget(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		if want := name != "serving"; err != nil || report.Draining != want || report.Slots != 3 {
			t.Errorf("%s: report %+v, error %v", name, report, err)
		}
	}
}

// A response that is no valid HTTP says nothing of a target's load.
func TestPollIgnoresAResponseWithAnInvalidHead(t *testing.T) {
	t.Parallel()
	for _, beginning := range responseheads.All() {
		t.Run(beginning.Name, func(t *testing.T) {
			t.Parallel()
			address := beginning.Serve(t, `{"in_flight":1,"slots":3}`)
			if report, err := pollTarget(t.Context(), newPollClient(), address); (err == nil) != beginning.Valid {
				t.Errorf("got %+v, %v", report, err)
			}
		})
	}
}
