package gateway

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// slowCallerTime is how long a caller takes nothing of a response until more of it is
	// held, so that its target can go on.
	slowCallerTime = 250 * time.Millisecond
	// maxUnreadTime is how long a caller may take nothing of a response of which no more
	// may be held. Targets break off responses that stay unread for some seconds.
	maxUnreadTime = 2 * time.Second
	// roomInterval is the interval at which a response that may not be held asks again.
	roomInterval = 100 * time.Millisecond
	// pieceSize is how many bytes of a response are held at once.
	pieceSize = 32 << 10
)

// errUnread is the error of a response that was broken off since its caller took nothing.
var errUnread = errors.Wrap(net.ErrClosed, "unread by the caller")

// unreadStep is what is done next about a response of which the caller has bytes to take.
type unreadStep int

const (
	awaitCaller unreadStep = iota // read no more of it for now
	holdMore                      // read more of it, which is held
	breakOff                      // end it, so that its target is free
)

// nextUnreadStep returns the next step for a response of which the caller has taken nothing
// for a time; room says whether more of it may be held.
func nextUnreadStep(untaken time.Duration, room bool) unreadStep {
	switch {
	case untaken < slowCallerTime:
		return awaitCaller
	case room:
		return holdMore
	case untaken < maxUnreadTime:
		return awaitCaller
	}
	return breakOff
}

// piece is a part of a response that the caller has not taken.
type piece struct {
	data    []byte
	taken   int    // bytes of data
	release func() // ends its counting as held; nil if it is not counted
}

// unreadBody is an io.Reader of a response's body that reads on from the target while its
// caller takes nothing, as far as more may be held.
type unreadBody struct {
	source io.Reader
	// hold counts bytes as held, if that is allowed, until release is called.
	hold func(bytes int) (release func(), ok bool)
	// complete is called once source has been read to its end.
	complete func()
	// received returns how many bytes have reached the caller on its connection, and
	// whether there are some that have not.
	received func() (bytes uint64, pending bool)
	// cancel breaks source off.
	cancel func()
	done   chan struct{} // closed when source is not used any more

	mu      sync.Mutex
	changed sync.Cond
	timer   *time.Timer
	pieces  []*piece
	spare   []byte // of a piece that was taken
	filling *piece // that source is being read into
	waiting bool   // whether Read waits for bytes
	takenAt time.Time
	// receivedBefore is the latest number of bytes from received.
	receivedBefore uint64
	held           int   // pieces that were counted as held, also those taken since
	err            error // of source, or why the caller gets no more
	ended          bool  // whether the caller gets no more
	whole          bool  // whether source has been read to its end
	// brokenOff is set if source was broken off since the caller took nothing.
	brokenOff bool
}

// newUnreadBody begins to read a response's body from source. begun is what was read of it
// before.
func newUnreadBody(begun []byte, source io.Reader, hold func(int) (func(), bool), received func() (uint64, bool), complete, cancel func()) *unreadBody {
	b := &unreadBody{source: source, hold: hold, received: received, complete: complete, cancel: cancel, done: make(chan struct{}), takenAt: time.Now()}
	b.changed.L = &b.mu
	if len(begun) > 0 {
		b.pieces = append(b.pieces, &piece{data: slices.Clip(begun)})
	}
	go b.run()
	return b
}

// Read implements io.Reader for the writer to the caller.
func (b *unreadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = true
	b.changed.Broadcast()
	for !b.ended {
		if len(b.pieces) > 0 && b.pieces[0].taken < len(b.pieces[0].data) {
			first := b.pieces[0]
			n := copy(p, first.data[first.taken:])
			first.taken += n
			b.dropTaken()
			b.waiting, b.takenAt = false, time.Now()
			return n, nil
		}
		if b.err != nil {
			return 0, b.err
		}
		b.changed.Wait()
	}
	return 0, b.err
}

// dropTaken removes the first piece if all of it was taken.
func (b *unreadBody) dropTaken() {
	if len(b.pieces) == 0 || b.pieces[0] == b.filling || b.pieces[0].taken < len(b.pieces[0].data) {
		return
	}
	first := b.pieces[0]
	b.pieces = slices.Delete(b.pieces, 0, 1)
	if first.release != nil {
		first.release()
	} else if cap(first.data) == pieceSize {
		b.spare = first.data[:0]
	}
}

// run reads source until its end.
func (b *unreadBody) run() {
	defer close(b.done)
	for {
		p := b.next()
		if p == nil {
			return
		}
		n, err := b.source.Read(p.data[len(p.data):cap(p.data)])
		b.mu.Lock()
		p.data = p.data[:len(p.data)+n]
		b.filling = nil
		b.dropTaken()
		b.whole = err == io.EOF && !b.ended
		whole := b.whole
		if b.err == nil {
			b.err = err
		}
		b.changed.Broadcast()
		b.mu.Unlock()
		if whole {
			b.complete()
		}
		if err != nil {
			return
		}
	}
}

// next waits until source may be read on and returns the piece for its bytes, or nil if it
// may not.
func (b *unreadBody) next() *piece {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.ended && b.err == nil {
		if len(b.pieces) == 0 {
			p := &piece{data: b.spare}
			if b.spare = nil; p.data == nil {
				p.data = make([]byte, 0, pieceSize)
			}
			b.pieces, b.filling = append(b.pieces, p), p
			return p
		}
		last := b.pieces[len(b.pieces)-1]
		partial := len(last.data) < cap(last.data)
		untaken := time.Since(b.takenAt)
		if b.waiting {
			untaken = 0
		}
		var release func()
		room := untaken >= slowCallerTime && partial
		if untaken >= slowCallerTime && !partial {
			release, room = b.hold(pieceSize)
			if !room && b.progressed() {
				b.takenAt, untaken = time.Now(), 0
			}
		}
		switch nextUnreadStep(untaken, room) {
		case holdMore:
			if !partial {
				last = &piece{data: make([]byte, 0, pieceSize), release: release}
				b.pieces = append(b.pieces, last)
				b.held++
			}
			b.filling = last
			return last
		case breakOff:
			b.err, b.brokenOff = errUnread, true
			b.cancel()
			return nil
		}
		b.waitAtMost(max(slowCallerTime-untaken, roomInterval))
	}
	return nil
}

// progressed reports whether more has reached the caller than before, or all that was
// written to it. A write to a connection goes on only once much of its buffers is free,
// and a response waits for its turn while the targets of earlier ones are at work.
func (b *unreadBody) progressed() bool {
	n, pending := b.received()
	more := n != b.receivedBefore
	b.receivedBefore = n
	return more || !pending
}

// waitAtMost waits for a change.
func (b *unreadBody) waitAtMost(limit time.Duration) {
	if b.timer == nil {
		b.timer = time.AfterFunc(limit, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.changed.Broadcast()
		})
	} else {
		b.timer.Reset(limit)
	}
	b.changed.Wait()
	b.timer.Stop()
}

// end makes the caller get no more than it has taken, but the error, and stops the reading
// of source once that returns. It reports whether source was read to its end, so that
// complete has been or is being called.
func (b *unreadBody) end(err error) (whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended, b.err = true, err
	}
	for _, p := range b.pieces {
		if p.release != nil {
			p.release()
		}
	}
	b.pieces = nil
	b.changed.Broadcast()
	return b.whole
}
