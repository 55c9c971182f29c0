package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/metrics"
)

// refusal is the error response to a request that was certainly not run.
type refusal struct {
	status     int           // HTTP status
	reason     string        // never changes; for programs, logs and metrics
	message    string        // for people
	retryAfter time.Duration // sent as Retry-After in whole seconds, unless 0
}

// MaxJSONBytes bounds a LookupResponse or an ErrorResponse.
const MaxJSONBytes = 64 << 10

// ErrorResponse is the JSON body of each response of the data path that does not
// come from a target.
type ErrorResponse struct {
	// Outcome says whether the request did not run (not-run) or may have run
	// (unknown).
	Outcome attempt.Outcome `json:"outcome"`
	// Reason is a fixed word for programs.
	Reason string `json:"reason"`
	// Message is a sentence for people.
	Message string `json:"message"`
}

// refuse logs and counts a refusal and sends it to the caller.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, refused refusal) {
	h.Log.Info().Str("reason", refused.reason).Str("method", r.Method).Msg("entry: refused a request, not run")
	h.Metrics.Add(metrics.Label("refusals_total", "reason", refused.reason), 1)
	if refused.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.retryAfter.Seconds()))))
	}
	writeErrorResponse(w, refused.status, ErrorResponse{Outcome: attempt.NotRun, Reason: refused.reason, Message: refused.message})
}

// writeErrorResponse sends an error response with its outcome, which also goes
// into OutcomeHeader.
func writeErrorResponse(w http.ResponseWriter, status int, body ErrorResponse) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set(OutcomeHeader, string(body.Outcome))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
