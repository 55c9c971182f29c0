package edge

import (
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/turmericfield/turmericfield/api/fleetpb"
)

// copyData returns a serialized copy with these entries.
func copyData(t testing.TB, revision uint64, changes ...*fleetpb.Change) []byte {
	data, err := proto.Marshal(&fleetpb.FollowResponse{Changes: changes, Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// maxCopyBytes is the limit of a copy in tests.
const maxCopyBytes = 64 << 20

// receiveParts returns a function that returns these parts one after another, then an error.
func receiveParts(end error, parts ...*fleetpb.CopyPart) func() (*fleetpb.CopyPart, error) {
	return func() (*fleetpb.CopyPart, error) {
		if len(parts) == 0 {
			return nil, end
		}
		part := parts[0]
		parts = parts[1:]
		return part, nil
	}
}

func TestCopyThatIsNotWholeIsRefused(t *testing.T) {
	broken := errors.New("connection lost")
	part := func(size uint64, data string) *fleetpb.CopyPart {
		return &fleetpb.CopyPart{Size: size, Data: []byte(data)}
	}
	for name, c := range map[string]struct {
		receive func() (*fleetpb.CopyPart, error)
		want    string // data; empty for an error
	}{
		"whole":         {receiveParts(io.EOF, part(6, "abc"), part(0, "def")), "abcdef"},
		"breaks off":    {receiveParts(broken, part(6, "abc")), ""},
		"ends early":    {receiveParts(io.EOF, part(6, "abc")), ""},
		"is longer":     {receiveParts(io.EOF, part(2, "abc")), ""},
		"has no parts":  {receiveParts(io.EOF), ""},
		"is too large":  {receiveParts(io.EOF, part(maxCopyBytes+1, "abc")), ""},
		"never reaches": {receiveParts(broken), ""},
	} {
		data, err := readCopy(maxCopyBytes, c.receive)
		if string(data) != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%s: got %q, %v", name, data, err)
		}
	}
}

func TestCopyWithInvalidEntriesIsRefused(t *testing.T) {
	entry := func(key string, revision uint64) *fleetpb.Change {
		return &fleetpb.Change{Key: key, Revision: revision}
	}
	for name, data := range map[string][]byte{
		"no revision":      copyData(t, 0, entry("a", 1)),
		"entry without":    copyData(t, 5, entry("a", 0)),
		"no key":           copyData(t, 5, entry("", 1)),
		"same key twice":   copyData(t, 5, entry("a", 1), entry("a", 2)),
		"deleted entry":    copyData(t, 5, &fleetpb.Change{Key: "a", Revision: 1, Deleted: true}),
		"no message":       []byte("\xff\xff\xff"),
		"a part of a copy": copyData(t, 5, entry("a", 1))[:3],
	} {
		if r, err := decodeCopy(data); !errors.Is(err, errInvalidCopy) {
			t.Errorf("%s: got %v, %v", name, r, err)
		}
	}
	if r, err := decodeCopy(copyData(t, 5, entry("a", 1), entry("b", 7))); err != nil || len(r.GetChanges()) != 2 {
		t.Errorf("a whole copy: got %v, %v", r, err)
	}
}

func FuzzDecodeCopy(f *testing.F) {
	f.Add(copyData(f, 5, &fleetpb.Change{Key: "a", Value: []byte("v"), Revision: 1}))
	f.Add([]byte{})
	f.Add([]byte("\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeCopy(data)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, c := range r.GetChanges() {
			if c.GetKey() == "" || c.GetRevision() == 0 || seen[c.GetKey()] {
				t.Errorf("accepted %v", fmt.Sprint(r))
			}
			seen[c.GetKey()] = true
		}
	})
}
