package load

import (
	"net"
	"testing"

	"github.com/turmericfield/turmericfield/internal/standin/responseheads"
)

// A response that is no valid HTTP is no answer, whether to a request or to a look-up.
func TestResponseWithAnInvalidHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, beginning := range responseheads.All() {
		t.Run(beginning.Name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go beginning.Serve(l, func(string) string { return `{"instances":[{"address":"127.0.0.1:1"}],"ttl_ms":1}` })
			c := newCallers(Options{Callers: 1})[0]
			want := Unknown
			if beginning.Valid {
				want = Answered
			}
			if got := c.send(t.Context(), l.Addr().String(), Request{Method: "GET", Path: "/x"}, "key"); got.outcome != want {
				t.Errorf("a request got %+v, want %s", got, want)
			}
			if answer, err := c.queryInstance(t.Context(), l.Addr().String()); (err == nil) != beginning.Valid {
				t.Errorf("a look-up got %+v, %v", answer, err)
			}
		})
	}
}
