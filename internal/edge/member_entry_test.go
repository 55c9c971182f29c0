package edge

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/turmericfield/turmericfield/internal/lookup"
)

func TestInstanceEntryWithoutEachOfItsFieldsIsNotUsed(t *testing.T) {
	own := member{Name: "a", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", AvailabilityZone: "z", Region: "r", Weight: 0.5}
	value, err := json.Marshal(own)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := decodeMember("a", value); err != nil || m != own {
		t.Fatalf("%+v, %v", m, err)
	}
	if _, err := decodeMember("b", value); err == nil {
		t.Error("used under another instance's key")
	}
	for field, wrong := range map[string][]string{
		"name":              {`"b"`, `"A"`},
		"address":           {`"127.0.0.1"`, `"host:1"`, `"127.0.0.1:0"`, `"127.0.0.1:70000"`},
		"peer_address":      {`"127.0.0.1"`, `"host:1"`, `"127.0.0.1:0"`},
		"availability_zone": nil,
		"region":            nil,
		"weight":            {`-0.1`, `1.1`, `"1"`, `1e400`},
	} {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(value, &fields); err != nil {
			t.Fatal(err)
		}
		for _, w := range append([]string{"left out", `null`, `""`, `true`, `[]`, `{}`}, wrong...) {
			if fields[field] = json.RawMessage(w); w == "left out" {
				delete(fields, field)
			}
			text, err := json.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			if m, err := decodeMember("a", text); err == nil {
				t.Errorf("%s %s: used, %+v", field, w, m)
			}
		}
	}
	for _, text := range []string{"", "null", "[]", "7", "\xff", strings.TrimSuffix(string(value), "}")} {
		if _, err := decodeMember("a", []byte(text)); err == nil {
			t.Errorf("%q: used", text)
		}
	}
}

// Earlier versions write no capacity, and later ones may write more fields and larger values.
func TestEntriesOfOtherVersionsAreUsed(t *testing.T) {
	entry := `{"name":"a","address":"127.0.0.1:1","peer_address":"127.0.0.1:2","availability_zone":"z","region":"r","weight":0.5`
	for more, want := range map[string]float64{`}`: 0, `,"capacity":null}`: 0, `,"capacity":0.16}`: 0.16, `,"capacity":3,"capacity_at_night":"7"}`: 3, `,"capacity":1e6}`: 1e6, `,"capacity":1e7}`: lookup.MaxCapacity, `,"capacity":1e300}`: lookup.MaxCapacity} {
		if m, err := decodeMember("a", []byte(entry+more)); err != nil || m.Capacity != want || m.Weight != 0.5 {
			t.Errorf("%s: %+v, %v", more, m, err)
		}
	}
	for _, more := range []string{`,"capacity":-1}`, `,"capacity":-1e-9}`, `,"capacity":NaN}`, `,"capacity":1e400}`, `,"capacity":"1"}`} {
		if m, err := decodeMember("a", []byte(entry+more)); err == nil {
			t.Errorf("%s: used, %+v", more, m)
		}
	}
}
