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

// refusal is an answer that no target gave: the request was not run.
type refusal struct {
	status     int
	reason     string // stable word for programs
	message    string
	retryAfter time.Duration
}

// ErrorResponse is the JSON body of an answer that no target gave.
type ErrorResponse struct {
	// Outcome is not-run or unknown.
	Outcome attempt.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Message string          `json:"message"`
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, refused refusal) {
	h.Log.Info().Str("reason", refused.reason).Str("method", r.Method).Msg("entry: refused a request, not run")
	h.Metrics.Add(metrics.Label("refusals_total", "reason", refused.reason), 1)
	if refused.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.retryAfter.Seconds()))))
	}
	writeErrorResponse(w, refused.status, ErrorResponse{Outcome: attempt.NotRun, Reason: refused.reason, Message: refused.message})
}

func writeErrorResponse(w http.ResponseWriter, status int, body ErrorResponse) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set(OutcomeHeader, string(body.Outcome))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
