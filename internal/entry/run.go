package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/attempt"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/placement"
)

// run tries targets until one answers, or no further try is allowed.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, r *http.Request, route *config.Route, workspace string) {
	id := callerRequestID(r)
	if id == "" {
		id = rand.Text()
	}
	body := &countingBody{reader: r.Body}
	request := placement.Request{Route: route, Workspace: workspace, Bytes: max(0, r.ContentLength)}
	for tries := 1; ; tries++ {
		grant, err := h.choose(request)
		if err != nil {
			h.refuse(w, r, placementRefusal(err))
			return
		}
		h.Log.Info().Str("request", id).Str("route", route.Name).Str("workspace", workspace).
			Str("target", grant.Target.Name).
			Str("region", grant.Region).Str("reason", string(grant.Reason)).Int("try", tries).Msg("placement: chose a target")
		response, outcome := h.try(ctx, r, body, route, grant, id)
		if response != nil {
			h.forward(w, response, grant)
			return
		}
		h.done(grant, outcome)
		// A body that was read in part cannot be sent again.
		if ctx.Err() != nil || body.count > 0 || !attempt.Retry(outcome, route.Repeatable, tries) {
			h.fail(ctx, w, r, outcome, id)
			return
		}
		request.Exclude = append(request.Exclude, grant.Target.Name)
	}
}

func (h *Handler) choose(request placement.Request) (placement.Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Placer.Choose(request, h.Now())
}

func (h *Handler) done(grant placement.Grant, outcome attempt.Outcome) {
	result := map[attempt.Outcome]placement.Outcome{
		attempt.Answered: placement.Answered, attempt.NotRun: placement.NotRun, attempt.Unknown: placement.Unknown,
	}[outcome]
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Placer.Done(grant, result, h.Now())
}

// try sends the request to one target. The response is nil unless the target
// answered this very request.
func (h *Handler) try(ctx context.Context, r *http.Request, body io.ReadCloser, route *config.Route, grant placement.Grant, id string) (*http.Response, attempt.Outcome) {
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+grant.Target.Address+r.URL.RequestURI(), body)
	if err != nil {
		return nil, attempt.NotRun
	}
	out.ContentLength = r.ContentLength
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.Host = r.Host
	copyRequestHeader(out.Header, r.Header)
	out.Header.Set(RequestIDHeader, id)
	response, err := h.transport.roundTrip(out, route.Repeatable)
	if err != nil {
		return nil, outcomeOfError(err)
	}
	if response.Header.Get(RequestIDHeader) != id {
		_ = response.Body.Close()
		return nil, attempt.Unknown
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(OutcomeHeader) == string(attempt.NotRun) {
		_ = response.Body.Close()
		return nil, attempt.NotRun
	}
	return response, attempt.Answered
}

// forward copies a target's answer to the caller. An answer that is cut short
// aborts the caller's connection, so that it is never taken for a whole one.
func (h *Handler) forward(w http.ResponseWriter, response *http.Response, grant placement.Grant) {
	defer response.Body.Close()
	copyResponseHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	_, err := io.Copy(flushWriter{w}, response.Body)
	if err != nil {
		h.done(grant, attempt.Unknown)
		panic(http.ErrAbortHandler)
	}
	h.done(grant, attempt.Answered)
}

func (h *Handler) fail(ctx context.Context, w http.ResponseWriter, r *http.Request, outcome attempt.Outcome, id string) {
	if outcome == attempt.NotRun {
		h.refuse(w, r, refusal{http.StatusServiceUnavailable, "no-target", "no target took the request", time.Second})
		return
	}
	h.Log.Warn().Str("request", id).Str("path", r.URL.Path).Msg("entry: the outcome of a request is unknown")
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	writeRefusal(w, status, RefusalBody{Outcome: attempt.Unknown, Reason: "no-answer", Message: "the target gave no whole answer; the request may have run"})
}

func placementRefusal(err error) refusal {
	reason := "no-target"
	if errors.Is(err, placement.ErrOverloaded) {
		reason = "overloaded"
	}
	return refusal{http.StatusServiceUnavailable, reason, err.Error(), time.Second}
}

// countingBody counts the bytes read of a caller's body. A transport's Close
// does not end it, so that an unread body can go to another target.
type countingBody struct {
	reader io.Reader
	count  int64
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.count += int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *countingBody) Close() error { return nil }

// flushWriter passes each part of an answer on at once.
type flushWriter struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	return n, err
}
