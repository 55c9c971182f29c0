package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/platform"
)

const (
	// copyPartBytes is the size of a part of a copy in bytes, which a narrow link
	// transfers in a fraction of copyPartTimeout. The encoded part is not larger than
	// smallBufferBytes.
	copyPartBytes = smallBufferBytes - 64
	// copyPartTimeout bounds the time until the next part of a copy arrives.
	copyPartTimeout = 500 * time.Millisecond
	// sendStallTimeout bounds the time until a part of a copy is taken. The receiver gives
	// up after copyPartTimeout.
	sendStallTimeout = 2 * copyPartTimeout
)

// errInvalidCopy means that another instance's copy of the store did not arrive as a whole.
var errInvalidCopy = errors.New("copy of the store is not whole")

// serializedCopy is the copy of the store in the form in which it is sent. Instances that
// ask for the same revision share it.
type serializedCopy struct {
	revision uint64
	entries  []byte // a FollowResponse with all entries and nothing else
	users    int    // transfers that send it
	held     int64  // bytes reserved for it

	compressed bool      // entries are to be compressed before they are sent
	compress   sync.Once // compresses them
}

const (
	// copyEncodingKey is the metadata key by which a receiver tells how it can take the
	// entries of a copy, and a source how it sends them. Without it they are plain.
	copyEncodingKey = "copy-encoding"
	copyGzip        = "gzip"
	// gzipBytes is what compressing takes in memory beside its input and output.
	gzipBytes = 1 << 20
)

// acceptsGzip reports whether the caller of a context takes compressed entries.
func acceptsGzip(ctx context.Context) bool {
	return slices.Contains(metadata.ValueFromIncomingContext(ctx, copyEncodingKey), copyGzip)
}

// compressOnce compresses the entries unless they are, without the follower's lock, since
// large ones take long.
func (f *follower) compressOnce(c *serializedCopy) {
	if !c.compressed {
		return
	}
	c.compress.Do(func() {
		data := compressEntries(c.entries)
		f.mu.Lock()
		defer f.mu.Unlock()
		c.entries = data
		f.budget.Release(c.held - int64(len(data)))
		c.held = int64(len(data))
	})
}

func compressEntries(entries []byte) []byte {
	var out bytes.Buffer
	// Neither the level nor a write to memory can fail.
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = w.Write(entries)
	_ = w.Close()
	return out.Bytes()
}

// decompressCopy returns a copy whose entries are compressed and whose state is plain as one
// whose both parts are plain.
func decompressCopy(data []byte, maxBytes int) ([]byte, error) {
	in := bytes.NewReader(data)
	r, err := gzip.NewReader(in)
	if err != nil {
		return nil, errors.CombineErrors(errInvalidCopy, err)
	}
	r.Multistream(false) // the state follows
	plain, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	switch {
	case err != nil:
		return nil, errors.CombineErrors(errInvalidCopy, err)
	case len(plain) > maxBytes:
		return nil, errors.Wrapf(errInvalidCopy, "more than %d bytes when decompressed", maxBytes)
	}
	return append(plain, data[len(data)-in.Len():]...), nil
}

// Copy implements fleetpb.FleetServer: it sends the whole copy of the store in parts. It
// fails if that exceeds what may be held for followers, or if a part is not taken in time.
func (f fleetServer) Copy(_ *fleetpb.CopyRequest, to grpc.ServerStreamingServer[fleetpb.CopyPart]) error {
	f.metrics.Add("copies_total", 1)
	call := f.follower.beginCall(to.Context())
	defer f.follower.endCall(call)
	compressed := acceptsGzip(to.Context())
	c, state, err := f.follower.openCopy(call, compressed)
	if err != nil {
		return err
	}
	sent, done := make(chan struct{}, 1), make(chan error, 1)
	go func() {
		// A send that is not taken ends with the stream, after Copy has returned.
		defer f.follower.closeCopy(c)
		f.follower.compressOnce(c)
		if compressed {
			if err := to.SetHeader(metadata.Pairs(copyEncodingKey, copyGzip)); err != nil {
				done <- err
				return
			}
		}
		done <- sendCopy(c.entries, state, to, sent)
	}()
	stalled := time.NewTimer(sendStallTimeout)
	defer stalled.Stop()
	for {
		select {
		case err := <-done:
			if err == nil {
				f.follower.copyTaken(call)
			}
			return err
		case <-sent:
			stalled.Reset(sendStallTimeout)
		case <-stalled.C:
			f.metrics.Add("copies_stalled_total", 1)
			return status.Error(codes.DeadlineExceeded, "a part of the copy was not taken in time")
		}
	}
}

// sendCopy sends a copy in parts and tells of each part that was taken.
func sendCopy(entries, state []byte, to grpc.ServerStreamingServer[fleetpb.CopyPart], sent chan<- struct{}) error {
	part := &fleetpb.CopyPart{Size: uint64(len(entries) + len(state))}
	for len(entries) > 0 {
		n := min(len(entries), copyPartBytes)
		part.Data, entries = entries[:n], entries[n:]
		if err := to.Send(part); err != nil {
			return err
		}
		select {
		case sent <- struct{}{}:
		default:
		}
		part = &fleetpb.CopyPart{}
	}
	part.Data = state
	return to.Send(part)
}

// openCopy returns a FollowResponse in two parts: one with all entries, and one with the
// revision and age of the copy. Messages that follow one another are merged when they are
// read as one. The first part is held until closeCopy.
func (f *follower) openCopy(call *followerCall, compressed bool) (c *serializedCopy, state []byte, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacksConfiguration() {
		return nil, nil, errLeftOut
	}
	if !f.budget.ReserveCopy(copyBufferBytes) {
		return nil, nil, f.refuse(copyBufferBytes)
	}
	call.conn.copies += copyBufferBytes
	list, revision := f.feed.Entries()
	if f.serialized == nil || f.serialized.revision != revision || f.serialized.compressed != compressed {
		f.dropSerialized()
		out := &fleetpb.FollowResponse{Changes: make([]*fleetpb.Change, len(list))}
		for i, e := range list {
			out.Changes[i] = &fleetpb.Change{Key: e.Key, Value: e.Value, Revision: e.Revision}
		}
		size := int64(proto.Size(out))
		if compressed {
			size += size + gzipBytes
		}
		if !f.budget.ReserveCopy(size) {
			return nil, nil, f.refuse(size)
		}
		data, err := proto.Marshal(out)
		if err != nil {
			f.budget.Release(size)
			return nil, nil, errors.Wrap(err, "copy of the store")
		}
		f.serialized = &serializedCopy{revision: revision, entries: data, held: size, compressed: compressed}
	}
	state, err = proto.Marshal(&fleetpb.FollowResponse{
		Revision: revision, Via: f.via, Lost: f.lost || f.currentAsOf == 0, AgeNs: int64(now() - f.currentAsOf),
		Settled: f.mirror.IsSettled(f.currentAsOf),
	})
	if err != nil {
		return nil, nil, errors.Wrap(err, "copy of the store")
	}
	f.serialized.users++
	return f.serialized, state, nil
}

// closeCopy ends one use of a serialized copy.
func (f *follower) closeCopy(c *serializedCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.users--; c.users == 0 && f.serialized != c {
		f.budget.Release(c.held)
	}
}

// dropSerialized forgets the newest serialized copy, which may still be being sent. The
// caller holds the lock.
func (f *follower) dropSerialized() {
	if c := f.serialized; c != nil && c.users == 0 {
		f.budget.Release(c.held)
	}
	f.serialized = nil
}

// copySlot lets one source at a time send a whole copy to a search.
type copySlot struct {
	taken    chan struct{} // holds an element while a source has the slot
	progress chan struct{} // holds an element if a part has come since it was last read
}

func newCopySlot() copySlot {
	return copySlot{taken: make(chan struct{}, 1), progress: make(chan struct{}, 1)}
}

// take takes the slot, and reports whether it had to wait for it.
func (s copySlot) take(ctx context.Context) (waited bool, err error) {
	select {
	case s.taken <- struct{}{}:
		return false, nil
	default:
	}
	select {
	case s.taken <- struct{}{}:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

func (s copySlot) release() { <-s.taken }

// noteProgress records that a part of the copy has come.
func (s copySlot) noteProgress() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// askCopy asks another instance for its whole copy. The age that the instance tells is
// that at the arrival of the call. It decides whether the copy is taken by what it was when
// the first part came, so that a slow transfer makes no copy useless; the age of the
// proof has the transfer in it.
func (f *follower) askCopy(ctx context.Context, client fleetpb.FleetClient, name string, slot copySlot) answer {
	askedAt := now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(copyPartTimeout, cancel)
	defer stalled.Stop()
	stream, err := client.Copy(metadata.AppendToOutgoingContext(ctx, copyEncodingKey, copyGzip), &fleetpb.CopyRequest{})
	if err != nil {
		return answer{source: name, err: errors.Wrap(err, "copy")}
	}
	var begunAt time.Duration
	data, err := readCopy(f.limits.CopyBytes, func() (*fleetpb.CopyPart, error) {
		part, err := stream.Recv()
		if begunAt == 0 {
			begunAt = now()
		}
		stalled.Reset(copyPartTimeout)
		slot.noteProgress()
		f.noteReceiving()
		return part, err
	})
	if err != nil {
		return answer{source: name, err: errors.Wrap(err, "copy")}
	}
	size, took := len(data), now()-askedAt
	if header, err := stream.Header(); err == nil && slices.Contains(header.Get(copyEncodingKey), copyGzip) {
		if data, err = decompressCopy(data, f.limits.CopyBytes); err != nil {
			return answer{source: name, err: errors.Wrap(err, "copy")}
		}
	}
	r, err := decodeCopy(data)
	if err != nil {
		return answer{source: name, err: errors.Wrap(err, "copy")}
	}
	a := answerFromProto(name, r, askedAt)
	a.isCopy, a.size, a.took, a.begunAt, a.entries = true, size, took, begunAt, make([]platform.Entry, len(r.GetChanges()))
	for i, c := range r.GetChanges() {
		a.entries[i] = entryFromProto(c)
	}
	return a
}

// readCopy puts the parts of a copy together until receive returns io.EOF.
func readCopy(maxBytes int, receive func() (*fleetpb.CopyPart, error)) ([]byte, error) {
	part, err := receive()
	if err != nil {
		return nil, err
	}
	size := part.GetSize()
	if size > uint64(maxBytes) {
		return nil, errors.Wrapf(errInvalidCopy, "%d bytes are announced, at most %d are accepted", size, maxBytes)
	}
	var data []byte
	for ; err == nil; part, err = receive() {
		if data = append(data, part.GetData()...); uint64(len(data)) > size {
			return nil, errors.Wrapf(errInvalidCopy, "more than the announced %d bytes", size)
		}
	}
	switch {
	case err != io.EOF:
		return nil, err
	case uint64(len(data)) < size:
		return nil, errors.Wrapf(errInvalidCopy, "%d of %d bytes", len(data), size)
	}
	return data, nil
}

// decodeCopy decodes a whole copy and checks that it can be one.
func decodeCopy(data []byte) (*fleetpb.FollowResponse, error) {
	r := &fleetpb.FollowResponse{}
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, errors.CombineErrors(errInvalidCopy, err)
	}
	seen := make(map[string]bool, len(r.GetChanges()))
	for _, c := range r.GetChanges() {
		if c.GetKey() == "" || c.GetRevision() == 0 || c.GetDeleted() || seen[c.GetKey()] {
			return nil, errors.Wrapf(errInvalidCopy, "entry %q of revision %d", c.GetKey(), c.GetRevision())
		}
		seen[c.GetKey()] = true
	}
	if r.GetRevision() == 0 {
		return nil, errors.Wrap(errInvalidCopy, "no revision")
	}
	return r, nil
}
