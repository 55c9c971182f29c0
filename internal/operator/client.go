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

// Client calls the operators' API of one instance.
type Client struct {
	// BaseURL is http://IP:port or https://IP:port.
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// APIError is an answer that is not a success.
type APIError struct {
	Status   int
	Response ErrorResponse
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Response.Error, e.Response.Code)
}

// Plan asks for the plan of an intent.
func (c *Client) Plan(ctx context.Context, in intent.Intent) (intent.Plan, error) {
	var plan intent.Plan
	return plan, c.call(ctx, http.MethodPost, PlanPath, in, &plan)
}

// Confirm confirms a plan.
func (c *Client) Confirm(ctx context.Context, id string) (Confirmation, error) {
	var confirmation Confirmation
	return confirmation, c.call(ctx, http.MethodPost, ConfirmPath, ConfirmRequest{PlanID: id}, &confirmation)
}

// Status asks for the status of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, StatusPath, nil, &status)
}

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
	if response.StatusCode != http.StatusOK {
		apiError := &APIError{Status: response.StatusCode}
		if err := json.NewDecoder(response.Body).Decode(&apiError.Response); err != nil {
			apiError.Response = ErrorResponse{Error: response.Status, Code: "internal"}
		}
		return apiError
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "operator API answer")
}

// Errors of a call without an answer.
var (
	// ErrNotSent means that the call did not reach the instance.
	ErrNotSent = errors.New("the operators' API cannot be reached")
	// ErrNoAnswer means that the call may have been carried out.
	ErrNoAnswer = errors.New("the operators' API gave no answer")
)

func classifySendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrNotSent
	}
	return ErrNoAnswer
}
