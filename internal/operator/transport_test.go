package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A request without the token must be refused before any byte of its body is read,
// whatever its path, so that its sender learns nothing about the API.
func TestCredentialIsCheckedBeforeTheBody(t *testing.T) {
	handler := NewHandler(&Service{}, "secret")
	for _, path := range []string{PlanPath, ConfirmPath, "/v1/no-such-path"} {
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
