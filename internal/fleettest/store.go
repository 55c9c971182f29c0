package fleettest

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/dissemination"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// Store stands in for the platform's store. It holds the accepted versions of the
// configuration and the platform's list of instances, which lags behind.
type Store struct {
	Location Location
	// Down makes the store ignore every call. AnswerLoss is the probability that
	// the answer to a call is lost after the store has handled it.
	Down       bool
	AnswerLoss float64
	// Reads counts the reads of the configuration that the store has handled, and
	// ListReads those of the list of instances.
	Reads, ListReads int64
	// SeatTables, if set, returns the newest seat table of each availability zone.
	SeatTables func() []*peerpb.SeatTable

	chunkBytes int
	rand       *rand.Rand
	accepted   []acceptedRecord // in the order of their versions
	lists      []listVersion    // in the order of their writing
	listLag    time.Duration
}

// acceptedRecord is a version of the configuration and the time of its acceptance.
type acceptedRecord struct {
	at     time.Time
	record *dissemination.Record
}

// listVersion is one state of the platform's list of instances.
type listVersion struct {
	at        time.Time // when readers begin to see it
	instances []platform.Instance
}

func newStore(seed uint64, chunks, chunkBytes int, lag time.Duration) *Store {
	s := &Store{chunkBytes: chunkBytes, rand: rand.New(rand.NewPCG(seed, 2)), listLag: lag}
	first := &dissemination.Record{Version: 1, Chunks: map[string][]byte{}}
	for range chunks {
		first.Hashes = append(first.Hashes, s.addChunk(first))
	}
	s.accepted = []acceptedRecord{{at: Start, record: first}}
	return s
}

// addChunk adds a chunk with a random hash to a record and returns the hash. The
// chunk's content plays no part.
func (s *Store) addChunk(r *dissemination.Record) string {
	hash := make([]byte, 16)
	binary.BigEndian.PutUint64(hash, s.rand.Uint64())
	binary.BigEndian.PutUint64(hash[8:], s.rand.Uint64())
	r.Chunks[string(hash)] = make([]byte, s.chunkBytes)
	return string(hash)
}

// Accept accepts a next version of the configuration, which differs from the last
// in one chunk, and returns its number.
func (s *Store) Accept(now time.Time) uint64 {
	old := s.newestRecord()
	next := &dissemination.Record{Version: old.Version + 1, Chunks: map[string][]byte{}}
	next.Hashes = append(next.Hashes, old.Hashes...)
	next.Hashes[s.rand.IntN(len(next.Hashes))] = s.addChunk(next)
	for _, h := range next.Hashes {
		if data, ok := old.Chunks[h]; ok {
			next.Chunks[h] = data
		}
	}
	s.accepted = append(s.accepted, acceptedRecord{at: now, record: next})
	return next.Version
}

func (s *Store) newestRecord() *dissemination.Record { return s.accepted[len(s.accepted)-1].record }

// newestAcceptedBefore returns the highest version accepted before t, or 0 if none
// was.
func (s *Store) newestAcceptedBefore(t time.Time) uint64 {
	for i := len(s.accepted) - 1; i >= 0; i-- {
		if s.accepted[i].at.Before(t) {
			return s.accepted[i].record.Version
		}
	}
	return 0
}

// setList sets the list of instances that readers see once listLag has passed.
func (s *Store) setList(now time.Time, instances []platform.Instance) {
	s.lists = append(s.lists, listVersion{at: now.Add(s.listLag), instances: instances})
}

// listAt returns the list of instances that readers see now.
func (s *Store) listAt(now time.Time) []platform.Instance {
	for i := len(s.lists) - 1; i >= 0; i-- {
		if !s.lists[i].at.After(now) {
			return s.lists[i].instances
		}
	}
	return nil
}
