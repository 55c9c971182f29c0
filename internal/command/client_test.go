package command

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/standin/responseheads"
)

// A response that is no valid HTTP is no answer of an instance, whether to a look-up or to a
// call of the operators' API.
func TestResponseWithAnInvalidHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, beginning := range responseheads.All() {
		t.Run(beginning.Name, func(t *testing.T) {
			t.Parallel()
			address := beginning.Serve(t, `{"planID":"p"}`)
			if answer, err := lookup(t.Context(), address, "127.0.0.1", ""); (err == nil) != beginning.Valid || !beginning.Valid && !errors.Is(err, errUnreachable) {
				t.Errorf("a look-up got %+v, %v", answer, err)
			}
			flags := clientFlags{address: address, token: "t", output: "text"}
			client, err := flags.client()
			if err != nil {
				t.Fatal(err)
			}
			if confirmation, err := client.Confirm(t.Context(), "p"); (err == nil) != beginning.Valid || !beginning.Valid && !errors.Is(err, operator.ErrNoAnswer) {
				t.Errorf("a confirmation got %+v, %v", confirmation, err)
			}
		})
	}
}
