package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/intent"
)

// Client calls the operators' API of one instance, which NewHandler serves.
type Client struct {
	// BaseURL is http://IP:port or https://IP:port, without a slash at the end.
	BaseURL string
	// Token is the bearer token that the API demands.
	Token string
	HTTP  *http.Client
}

// APIError is the error of a call whose response has another HTTP status than 200.
type APIError struct {
	Status   int // HTTP status
	Response ErrorResponse
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Response.Error, e.Response.Code)
}

// Plan has the instance make and store the plan of an intent.
func (c *Client) Plan(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	var plan intent.Plan
	return plan, c.call(ctx, http.MethodPost, PlanPath, in, &plan)
}

// Confirm has the fleet make the plan with this ID the accepted configuration.
func (c *Client) Confirm(ctx context.Context, id string) (Confirmation, error) {
	var confirmation Confirmation
	return confirmation, c.call(ctx, http.MethodPost, ConfirmPath, ConfirmRequest{PlanID: id}, &confirmation)
}

// Status returns the status of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, StatusPath, nil, &status)
}

// Configuration returns the accepted configuration.
func (c *Client) Configuration(ctx context.Context) (AcceptedConfiguration, error) {
	var accepted AcceptedConfiguration
	if err := c.call(ctx, http.MethodGet, ConfigurationPath, nil, &accepted); err != nil {
		return accepted, err
	}
	if accepted.Document == nil {
		return accepted, errors.New("operator API answer: there is no document")
	}
	return accepted, nil
}

// call sends body as JSON, unless it is nil, and decodes the JSON of the response
// into answer.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(payload))
	if err != nil {
		return errors.Wrap(err, "operator address")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "operator API"), classifySendError(err))
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxResponseBytes))
	if response.StatusCode != http.StatusOK {
		apiError := &APIError{Status: response.StatusCode}
		if err := decoder.Decode(&apiError.Response); err != nil {
			apiError.Response = ErrorResponse{Error: response.Status, Code: "internal"}
		}
		return apiError
	}
	return errors.Wrap(decoder.Decode(answer), "operator API answer")
}

// Errors of a call that got no response.
var (
	// ErrNotSent means that no connection to the instance could be made, so that
	// the call had no effect.
	ErrNotSent = errors.New("the operators' API cannot be reached")
	// ErrNoAnswer means that the call may have reached the instance, so that it may
	// have been carried out.
	ErrNoAnswer = errors.New("the operators' API gave no answer")
)

// classifySendError returns ErrNotSent or ErrNoAnswer for an error of the HTTP
// client.
func classifySendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrNotSent
	}
	return ErrNoAnswer
}
