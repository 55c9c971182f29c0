package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// largeDocument returns a document with 4000 workspaces and the given number of
// targets in 40 services. With 24000 targets it is larger than 1 MiB, more than one
// value of the store holds.
func largeDocument(targets int) *Document {
	doc := &Document{
		Regions:           []Region{{Name: "sierra", LinkMbps: 4000}},
		AvailabilityZones: []AvailabilityZone{{Name: "sierra-1", Region: "sierra"}},
	}
	for i := range 40 {
		s := Service{Name: fmt.Sprintf("s%d", i), Slots: 6, MaxConnections: 400}
		for j := range targets / 40 {
			s.Targets = append(s.Targets, Target{Name: fmt.Sprintf("t%d-%d", i, j), AvailabilityZone: "sierra-1", Address: fmt.Sprintf("127.%d.%d.%d:80", i, j/250, j%250)})
		}
		doc.Services = append(doc.Services, s)
	}
	for i := range 4000 {
		doc.Workspaces = append(doc.Workspaces, Workspace{Name: fmt.Sprintf("w%d", i), Rate: 10, Burst: 5})
	}
	return doc
}

// dataByHash returns the data of chunks by their hashes.
func dataByHash(chunks []Chunk) map[string][]byte {
	out := map[string][]byte{}
	for _, c := range chunks {
		out[c.Hash] = c.Data
	}
	return out
}

func TestSplitAndJoinKeepTheRecord(t *testing.T) {
	r := Record{
		Revision: 9, Version: 7, History: []Operation{{"a", 7}},
		Writers: []Writer{{"x", 3}}, Document: largeDocument(24000),
	}
	m, chunks, err := SplitRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, c := range chunks {
		total += len(c.Data)
		if len(c.Data) > MaxChunkBytes {
			t.Errorf("chunk of %d bytes", len(c.Data))
		}
	}
	if total < 1<<20 {
		t.Fatalf("document has only %d bytes", total)
	}
	byHash := dataByHash(chunks)
	got, err := JoinRecord(m, func(h string) []byte { return byHash[h] })
	if err != nil {
		t.Fatal(err)
	}
	again, _, err := SplitRecord(got)
	if err != nil || !reflect.DeepEqual(again, m) {
		t.Fatalf("record changed: %v, %v is not %v", err, again, m)
	}
	if len(got.Document.Workspaces) != 4000 || len(got.Document.Services[39].Targets) != 600 {
		t.Fatal("document lost entries")
	}
}

// Changing, adding or removing one workspace must change at most two chunks of a
// large document, so that little has to be written and sent.
func TestSmallChangeChangesFewChunks(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	doc := largeDocument(400)
	old, _, _ := SplitRecord(Record{Document: doc})
	for range 50 {
		i := rng.IntN(len(doc.Workspaces))
		switch rng.IntN(3) {
		case 0:
			doc.Workspaces[i].Burst++
		case 1:
			doc.Workspaces = append(doc.Workspaces[:i], doc.Workspaces[i+1:]...)
		case 2:
			doc.Workspaces = append(doc.Workspaces, Workspace{Name: fmt.Sprintf("n%d", rng.Uint64()), Rate: 1, Burst: 1})
		}
		next, _, _ := SplitRecord(Record{Document: doc})
		if changed := next.ChunksNotIn(old); len(changed) > 2 {
			t.Fatalf("%d of %d chunks changed", len(changed), len(next.Chunks))
		}
		old = next
	}
}

func TestJoinRefusesWrongChunks(t *testing.T) {
	m, chunks, _ := SplitRecord(Record{Document: largeDocument(400)})
	byHash := dataByHash(chunks)
	if _, err := JoinRecord(m, func(string) []byte { return nil }); !errors.Is(err, ErrChunkMissing) {
		t.Errorf("missing chunk: %v", err)
	}
	if _, err := JoinRecord(m, func(h string) []byte { return append([]byte(" "), byHash[h]...) }); !errors.Is(err, ErrChunkCorrupt) {
		t.Errorf("corrupt chunk: %v", err)
	}
}

func TestOversizeItemIsRefused(t *testing.T) {
	doc := &Document{Services: []Service{{Name: "s", Targets: make([]Target, 40000)}}}
	if _, _, err := SplitRecord(Record{Document: doc}); !errors.Is(err, ErrItemTooLarge) {
		t.Fatalf("error is %v", err)
	}
}

// Manifests may arrive in any order and without some of their chunks. The held record
// must never be replaced by an older one, and must not change if chunks are missing.
func TestHeldRecordNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var manifests []Manifest
		all := map[string][]byte{}
		for i := range 5 {
			doc := &Document{Regions: []Region{{Name: fmt.Sprint("r", i)}}}
			m, chunks, _ := SplitRecord(Record{Revision: uint64(i + 1), Version: uint64(i + 1), Document: doc})
			manifests = append(manifests, m)
			for _, c := range chunks {
				all[c.Hash] = c.Data
			}
		}
		var h HeldRecord
		for range 20 {
			m := manifests[rapid.IntRange(0, 4).Draw(t, "offered")]
			var given []Chunk
			for _, hash := range h.MissingChunks(m) {
				if rapid.Bool().Draw(t, "given") {
					given = append(given, Chunk{hash, all[hash]})
				}
			}
			before := h.Manifest().Revision
			r, newer, err := h.ReplaceIfNewer(m, given)
			after := h.Manifest().Revision
			if after < before || (newer && (err != nil || r.Version != m.Version || after != m.Revision)) || (!newer && after != before) {
				t.Fatalf("held revision %d, offered %d: now %d, replaced %t, %v", before, m.Revision, after, newer, err)
			}
		}
	})
}
