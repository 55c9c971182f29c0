package target

import (
	"encoding/json"
	"fmt"
	"net/http"
)

const maxControlBytes = 64 << 10 // of a body with new settings

// serveControl returns the settings. A PUT first changes those that its JSON body
// names; the others stay as they are.
func (t *Target) serveControl(w http.ResponseWriter, r *http.Request) {
	settings := t.injector.currentSettings()
	if r.Method == http.MethodPut {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&settings)
		if err == nil {
			err = settings.Validate()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.injector.setSettings(settings)
	}
	writeJSON(w, settings)
}

// serveHealth answers a health check: 503 while the target is draining.
func (t *Target) serveHealth(w http.ResponseWriter) {
	if t.injector.currentSettings().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// serveLoad reports the load, or a false one if Settings.LoadFrozen or
// Settings.LoadFactor ask for it.
func (t *Target) serveLoad(w http.ResponseWriter) {
	settings := t.injector.currentSettings()
	inFlight := t.inFlight.Load()
	if settings.LoadFrozen {
		inFlight = t.reportedInFlight.Load()
	}
	t.reportedInFlight.Store(inFlight)
	writeJSON(w, Load{
		InFlight: int64(float64(inFlight) * settings.LoadFactor),
		Slots:    int64(t.options.Slots), Draining: settings.Draining,
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
