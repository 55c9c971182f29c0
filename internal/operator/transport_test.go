package operator

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestEndlessResponse guards against a response without end that fills the memory of
// the operators' client, whatever its status is.
func TestEndlessResponse(t *testing.T) {
	const slack = 32 << 20 // buffers of the sockets
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		var written atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			part := []byte(`{"error":"` + strings.Repeat("x", 1<<20))
			for written.Load() < 2*(maxResponseBytes+slack) {
				n, err := w.Write(part)
				written.Add(int64(n))
				if err != nil {
					return
				}
				part = part[len(part)-1<<20:]
			}
			_, _ = io.WriteString(w, `"}`)
		}))
		client := Client{BaseURL: server.URL, HTTP: server.Client()}
		if _, err := client.Status(t.Context()); err == nil || written.Load() > maxResponseBytes+slack {
			t.Errorf("status %d: read %d bytes, error %.100s", status, written.Load(), fmt.Sprint(err))
		}
		server.Close()
	}
}

// A request without the token must be refused before any byte of its body is read,
// whatever its path, so that its sender learns nothing about the API.
func TestCredentialIsCheckedBeforeTheBody(t *testing.T) {
	handler := NewHandler(&Service{}, "secret")
	for _, path := range []string{PlanPath, ConfirmPath, ConfigurationPath, "/v1/no-such-path"} {
		for _, credential := range []string{"", "secret", "Bearer ", "Bearer wrong"} {
			body := strings.NewReader("{")
			r := httptest.NewRequest(http.MethodPost, path, body)
			r.Header.Set("Authorization", credential)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != http.StatusUnauthorized || body.Len() == 0 {
				t.Errorf("%s with credential %q: status %d, %d bytes of the body left unread", path, credential, w.Code, body.Len())
			}
		}
	}
}

func TestMalformedBodies(t *testing.T) {
	handler := NewHandler(&Service{}, "secret")
	for _, body := range []string{"", "{", "[]", `{"no_such_field": 1}`, `{"kind": 7}`} {
		r := httptest.NewRequest(http.MethodPost, PlanPath, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer secret")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), `"bad-request"`) {
			t.Errorf("body %q: status %d, %s", body, w.Code, w.Body)
		}
	}
}

// The accepted configuration must reach the client as it is stored. Before the first plan
// it is empty.
func TestAcceptedConfigurationIsAnswered(t *testing.T) {
	store := newFakeStore(1)
	s := newServices(store, 1)[0]
	server := httptest.NewServer(NewHandler(s, "secret"))
	defer server.Close()
	client := Client{BaseURL: server.URL, Token: "secret", HTTP: server.Client()}
	if accepted, err := client.Configuration(t.Context()); err != nil || accepted.Version != 0 || len(accepted.Document.Routes) != 0 {
		t.Errorf("before the first plan: %+v, %v", accepted, err)
	}
	mustApply(t, s)
	accepted, err := client.Configuration(t.Context())
	if record := mustReadRecord(t, store); err != nil || accepted.Version != record.Version || !reflect.DeepEqual(accepted.Document, record.Document) {
		t.Errorf("%+v, %v", accepted, err)
	}
	store.down = true
	var apiErr *APIError
	if _, err := client.Configuration(t.Context()); !errors.As(err, &apiErr) || apiErr.Response.Code != codeStoreUnavailable {
		t.Errorf("without the store: %v", err)
	}
}
