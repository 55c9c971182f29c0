package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/turmericfield/turmericfield/internal/freshness"
	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// Paths of the operators' API.
const (
	PlanPath    = "/v1/plans"
	ConfirmPath = "/v1/confirm"
	StatusPath  = "/v1/status"
	// ConfigurationPath is that of the accepted configuration.
	ConfigurationPath = "/v1/configuration"
)

const (
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 64 << 20
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
)

var (
	errUnauthorized = errors.New("operator credential is missing or wrong")
	errBadRequest   = errors.New("request is malformed")
)

// ConfirmRequest is the body of a request to confirm a plan.
type ConfirmRequest struct {
	PlanID string `json:"plan_id"`
}

// ErrorResponse is the body of every response that is not a success.
type ErrorResponse struct {
	// Error is a message for the operator.
	Error string `json:"error"`
	// Code is one of unauthorized, bad-request, unknown-plan, conflict,
	// refused, no-writer, store-unavailable, unknown-outcome, internal.
	Code string `json:"code"`
}

// NewHandler returns the HTTP handler of the operators' API. It refuses requests
// without the bearer token, and all requests if the token is empty.
func NewHandler(s *Service, token string) http.Handler {
	options := []kithttp.ServerOption{
		kithttp.ServerErrorEncoder(encodeError),
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+PlanPath, kithttp.NewServer(planEndpoint(s), decodeJSON[intent.Intent], kithttp.EncodeJSONResponse, options...))
	mux.Handle("POST "+ConfirmPath, kithttp.NewServer(confirmEndpoint(s), decodeJSON[ConfirmRequest], kithttp.EncodeJSONResponse, options...))
	mux.Handle("GET "+StatusPath, kithttp.NewServer(statusEndpoint(s), kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, options...))
	mux.Handle("GET "+ConfigurationPath, kithttp.NewServer(configurationEndpoint(s), kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, options...))
	return authorize(token, mux)
}

func planEndpoint(s *Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) { return s.Plan(ctx, request.(intent.Intent)) }
}

func confirmEndpoint(s *Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Confirm(ctx, request.(ConfirmRequest).PlanID)
	}
}

func statusEndpoint(s *Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return s.Status(ctx), nil }
}

func configurationEndpoint(s *Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return s.Configuration(ctx) }
}

// authorize passes only requests with the bearer token on to next. It compares the
// token in constant time, and reads nothing of the body.
func authorize(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(given))
		if !ok || token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			encodeError(r.Context(), errUnauthorized, w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// decodeJSON decodes the body of a request into a T. Unknown fields are errors.
func decodeJSON[T any](_ context.Context, r *http.Request) (any, error) {
	var request T
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "request body"), errBadRequest)
	}
	return request, nil
}

// encodeError writes an ErrorResponse.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	code, status := classify(err)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{Error: err.Error(), Code: code})
}

// Values of ErrorResponse.Code.
const (
	codeUnauthorized     = "unauthorized"
	codeBadRequest       = "bad-request"
	codeUnknownPlan      = "unknown-plan"
	codeConflict         = "conflict"
	codeRefused          = "refused"
	codeNoWriter         = "no-writer"
	codeUnknownOutcome   = "unknown-outcome"
	codeStoreUnavailable = "store-unavailable"
	codeInternal         = "internal"
)

// codedErrors gives the code and the HTTP status of errors. The first entry that
// matches an error applies; other errors are internal ones.
var codedErrors = []struct {
	err    error
	code   string
	status int
}{
	{errUnauthorized, codeUnauthorized, http.StatusUnauthorized},
	{errBadRequest, codeBadRequest, http.StatusBadRequest},
	{intent.ErrUnknownPlan, codeUnknownPlan, http.StatusNotFound},
	{intent.ErrStalePlan, codeConflict, http.StatusConflict},
	{intent.ErrRefused, codeRefused, http.StatusUnprocessableEntity},
	{ErrNoWriter, codeNoWriter, http.StatusServiceUnavailable},
	{freshness.ErrRetired, codeNoWriter, http.StatusServiceUnavailable},
	{platform.ErrUnknownOutcome, codeUnknownOutcome, http.StatusGatewayTimeout},
	{platform.ErrUnavailable, codeStoreUnavailable, http.StatusServiceUnavailable},
}

// classify returns the code and the HTTP status of an error.
func classify(err error) (string, int) {
	for _, f := range codedErrors {
		if errors.Is(err, f.err) {
			return f.code, f.status
		}
	}
	return codeInternal, http.StatusInternalServerError
}

// ErrorCode returns the ErrorResponse.Code of an error. A writer sends it to the
// instance that asked it for a confirm.
func ErrorCode(err error) string {
	code, _ := classify(err)
	return code
}

// ErrorFromCode returns an error with this message for which ErrorCode returns this
// code. If several errors have the code, it is marked as the first of them.
func ErrorFromCode(code, message string) error {
	for _, f := range codedErrors {
		if f.code == code {
			return errors.Mark(errors.Newf("%s", message), f.err)
		}
	}
	return errors.Newf("%s", message)
}
