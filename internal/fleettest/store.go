package fleettest

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/dissemination"
	"github.com/turmericfield/turmericfield/internal/platform"
)

// Store stands in for the platform: the accepted configuration and the lagging
// list of instances.
type Store struct {
	Location Location
	// Down makes every read fail; LostAnswers is the probability that an answer
	// is lost.
	Down       bool
	AnswerLoss float64
	// Reads counts the reads that arrived.
	Reads, ListReads int64
	// SeatTables returns the seat tables of all zones; nil if there are none.
	SeatTables func() []*peerpb.SeatTable

	chunkBytes int
	rand       *rand.Rand
	accepted   []acceptedRecord
	lists      []listVersion
	listLag    time.Duration
}

type acceptedRecord struct {
	at     time.Time
	record *dissemination.Record
}

type listVersion struct {
	at        time.Time
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

// chunk adds a random chunk to a record and returns its hash.
func (s *Store) addChunk(r *dissemination.Record) string {
	hash := make([]byte, 16)
	binary.BigEndian.PutUint64(hash, s.rand.Uint64())
	binary.BigEndian.PutUint64(hash[8:], s.rand.Uint64())
	r.Chunks[string(hash)] = make([]byte, s.chunkBytes)
	return string(hash)
}

// Accept accepts a next version that differs in one chunk.
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

// acceptedBefore returns the highest version accepted before a moment; 0 if
// none was.
func (s *Store) newestAcceptedBefore(t time.Time) uint64 {
	for i := len(s.accepted) - 1; i >= 0; i-- {
		if s.accepted[i].at.Before(t) {
			return s.accepted[i].record.Version
		}
	}
	return 0
}

func (s *Store) setList(now time.Time, instances []platform.Instance) {
	s.lists = append(s.lists, listVersion{at: now.Add(s.listLag), instances: instances})
}

func (s *Store) listAt(now time.Time) []platform.Instance {
	for i := len(s.lists) - 1; i >= 0; i-- {
		if !s.lists[i].at.After(now) {
			return s.lists[i].instances
		}
	}
	return nil
}
