package delta

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
)

const maxBytes = 8 << 20

// records returns so many records of about 250 bytes with random parts.
func records(r *rand.Rand, n int) [][]byte {
	list := make([][]byte, n)
	for i := range list {
		part := make([]byte, 20)
		for j := range part {
			part[j] = "0123456789abcdef"[r.IntN(16)]
		}
		list[i] = append(append([]byte(`{"resourceKind":"routes","spec":{"prefix":"/`), part...), bytes.Repeat([]byte(`,"timeoutS":5`), 15)...)
	}
	return list
}

func TestDifferenceLeadsFromItsBaseToTheValue(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	list := records(r, 4200)
	base := bytes.Join(list, nil)
	grown := bytes.Join(append(list[:len(list):len(list)], records(r, 1400)...), nil)
	changed := bytes.ReplaceAll(base, list[2000], []byte("another"))
	random := make([]byte, 1<<20)
	for i := range random {
		random[i] = byte(r.Uint32())
	}
	for name, c := range map[string]struct {
		base, value []byte
		most        int
	}{
		"one record":  {base, changed, 4 << 10},
		"a third":     {base, grown, 128 << 10},
		"front":       {base, append([]byte("x"), base...), 4 << 10},
		"less":        {grown, base, 4 << 10},
		"the same":    {base, base, 4 << 10},
		"no base":     {nil, base, len(base) / 4},
		"no value":    {base, nil, 64},
		"neither":     {nil, nil, 64},
		"unlike":      {base, random, len(random) + 4<<10},
		"a few bytes": {[]byte("abc"), []byte("abd"), 64},
	} {
		difference := Encode(c.base, c.value)
		got, err := Decode(c.base, difference, maxBytes)
		if err != nil || !bytes.Equal(got, c.value) {
			t.Errorf("%s: %d of %d bytes, %v", name, len(got), len(c.value), err)
		}
		if len(difference) > c.most {
			t.Errorf("%s: %d bytes, want %d at most", name, len(difference), c.most)
		}
	}
}

func TestDifferenceThatDoesNotApplyIsRefused(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	list := records(r, 400)
	base := bytes.Join(list, nil)
	difference := Encode(base, append(base[:len(base):len(base)], "more"...))
	for name, decode := range map[string]func() ([]byte, error){
		"another base": func() ([]byte, error) {
			return Decode(append(base[:len(base):len(base)], "y"...), difference, maxBytes)
		},
		"no base":   func() ([]byte, error) { return Decode(nil, difference, maxBytes) },
		"cut":       func() ([]byte, error) { return Decode(base, difference[:len(difference)-5], maxBytes) },
		"no text":   func() ([]byte, error) { return Decode(base, []byte("not a difference"), maxBytes) },
		"too large": func() ([]byte, error) { return Decode(base, difference, len(base)-1) },
	} {
		if got, err := decode(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
	}
	if Encode(make([]byte, maxInputBytes), []byte("x")) != nil {
		t.Error("a difference to a base above the limit")
	}
}

func FuzzDecode(f *testing.F) {
	base := []byte("some base, some base")
	f.Add(Encode(base, []byte("some base, another base")))
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, difference []byte) {
		if got, err := Decode(base, difference, 1<<20); err == nil && len(got) > 1<<20 {
			t.Errorf("%d bytes", len(got))
		}
	})
}
