package server

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/dissemination"
)

// answerSync answers another instance's pull.
func (s *Server) answerSync(r *peerpb.SyncRequest) *peerpb.SyncResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncer.AnswerPull(time.Now(), r)
}

// pull asks another instance for what this one lacks.
func (s *Server) pull(ctx context.Context, p dissemination.Pull) {
	callCtx, cancel := context.WithTimeout(ctx, dissemination.PullTimeout)
	defer cancel()
	response, err := s.network.Pull(callCtx, p.PeerAddress, p.Request)
	s.mu.Lock()
	if err != nil {
		s.syncer.PullFailed(time.Now(), p.ID)
	} else {
		s.syncer.PullAnswered(time.Now(), p.ID, response)
	}
	s.mu.Unlock()
	if err != nil {
		s.part("sync").Debug().Err(err).Msg("sync: pull failed")
		return
	}
	s.applyNewest()
}

// applyNewest puts the newest whole record that was pulled in force.
func (s *Server) applyNewest() {
	s.mu.Lock()
	record := s.syncer.NewestRecord()
	s.mu.Unlock()
	manifest, chunks, err := manifestOf(record)
	if err == nil {
		err = s.takeRecord(manifest, chunks)
	}
	if err == nil {
		return
	}
	s.part("sync").Error().Err(err).Msg("sync: cannot use a pulled record")
	s.mu.Lock()
	s.syncer.Reject(record.Version)
	s.mu.Unlock()
}

func (s *Server) receiveHint(h *peerpb.Hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncer.HintReceived(time.Now(), h)
}

// recordOf returns the form in which a held record is passed on.
func recordOf(held *config.HeldRecord) (*dissemination.Record, error) {
	m := held.Manifest()
	r := &dissemination.Record{Version: m.Revision, Chunks: map[string][]byte{}}
	for _, digest := range m.Chunks {
		raw, err := hex.DecodeString(digest)
		if err != nil {
			return nil, err
		}
		r.Hashes = append(r.Hashes, string(raw))
		r.Chunks[string(raw)] = held.Chunk(digest)
	}
	m.Chunks = nil
	head, err := json.Marshal(m)
	r.Head = head
	return r, err
}

// manifestOf is the inverse of recordOf.
func manifestOf(r *dissemination.Record) (config.Manifest, []config.Chunk, error) {
	var m config.Manifest
	if r.Version == 0 {
		return m, nil, nil
	}
	if err := json.Unmarshal(r.Head, &m); err != nil {
		return m, nil, err
	}
	chunks := make([]config.Chunk, len(r.Hashes))
	for i, raw := range r.Hashes {
		chunks[i] = config.Chunk{Hash: hex.EncodeToString([]byte(raw)), Data: r.Chunks[raw]}
		m.Chunks = append(m.Chunks, chunks[i].Hash)
	}
	return m, chunks, nil
}
