package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
