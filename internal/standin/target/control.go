package target

import (
	"encoding/json"
	"fmt"
	"net/http"
)

const maxControlBytes = 64 << 10

// serveControl shows the settings, or replaces the fields that a PUT names.
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

func (t *Target) serveHealth(w http.ResponseWriter) {
	if t.injector.currentSettings().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// serveLoad reports the load, falsely if that is switched on.
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
