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
	return s.disseminator.AnswerPull(time.Now(), r)
}

// pull asks another instance for the control records that this one lacks and puts
// the newest configuration record in force.
func (s *Server) pull(ctx context.Context, p dissemination.Pull) {
	callCtx, cancel := context.WithTimeout(ctx, dissemination.PullTimeout)
	defer cancel()
	response, err := s.network.Pull(callCtx, p.PeerAddress, p.Request)
	s.mu.Lock()
	if err != nil {
		s.disseminator.PullFailed(time.Now(), p.ID)
	} else {
		s.disseminator.PullAnswered(time.Now(), p.ID, response)
	}
	s.mu.Unlock()
	if err != nil {
		s.logger("sync").Debug().Err(err).Msg("sync: pull failed")
		return
	}
	s.applyPulledRecord()
}

// applyPulledRecord puts the newest record of which all chunks have been pulled in
// force. A record that cannot be used is dropped, so that it is pulled again.
func (s *Server) applyPulledRecord() {
	s.mu.Lock()
	record := s.disseminator.NewestRecord()
	s.mu.Unlock()
	manifest, chunks, err := decodeRecord(record)
	if err == nil {
		err = s.applyRecord(manifest, chunks)
	}
	if err == nil {
		return
	}
	s.logger("sync").Error().Err(err).Msg("sync: cannot use a pulled record")
	s.mu.Lock()
	s.disseminator.Reject(record.Version)
	s.mu.Unlock()
}

// receiveHint handles a peer's hint that it has a newer configuration in force.
func (s *Server) receiveHint(h *peerpb.Hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disseminator.HintReceived(time.Now(), h)
}

// encodeRecord returns the held record in the form in which instances pull it from
// each other. Its Version is the manifest's Revision, its Head is the manifest
// without the chunk list, and its hashes are raw bytes instead of hexadecimal.
func encodeRecord(held *config.HeldRecord) (*dissemination.Record, error) {
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

// decodeRecord is the inverse of encodeRecord. It returns an empty manifest for an
// empty record.
func decodeRecord(r *dissemination.Record) (config.Manifest, []config.Chunk, error) {
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
