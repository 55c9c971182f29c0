package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval of the backends' registrations.
const heartbeat = 1500 * time.Millisecond

// arrival is a request that a backend began to run.
type arrival struct {
	id, method, uri string
	at              time.Time
	done            bool // whether its response was written
}

// backend is a server of a service. It registers in the store as PROTOCOL.md says.
type backend struct {
	fleet             *fleet
	id, service, zone string
	slots             int
	work              func(r *http.Request) time.Duration
	born              int64
	listener          net.Listener

	mu       sync.Mutex
	state    string // "ready" or "draining"
	sequence int64
	coldEnds time.Time
	beats    *time.Timer
	stopped  bool
	arrivals []*arrival
	running  int
	// body returns the response's body.
	body func(r *http.Request) []byte
	// cut returns after how many bytes of the body the response breaks off, -1 for not at all.
	cut func(r *http.Request) int
}

// addBackend starts a backend that answers after a time of work.
func (f *fleet) addBackend(id, service, zone string, slots int, work time.Duration) (*backend, error) {
	b, err := f.newBackend(id, service, zone, slots, work)
	if err != nil {
		return nil, err
	}
	b.start()
	return b, nil
}

// newBackend returns a backend that has yet to start.
func (f *fleet) newBackend(id, service, zone string, slots int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp4", f.prefix+"100:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		fleet: f, id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), listener: l, state: "ready",
		work: func(*http.Request) time.Duration { return work },
		body: func(*http.Request) []byte { return []byte("answer of " + id) },
		cut:  func(*http.Request) int { return -1 },
	}
	return b, nil
}

// start makes the backend serve and register.
func (b *backend) start() {
	go b.serve()
	b.beat()
}

// entry is the backend's registration as of now. The caller holds the lock.
func (b *backend) entry() map[string]any {
	cold := max(time.Until(b.coldEnds).Seconds(), 0)
	return map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": b.state, "coldRemainingS": cold, "sequence": b.sequence, "born": b.born,
	}
}

// next returns the next registration, to be written by the caller.
func (b *backend) next() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return b.entry()
}

// write writes a registration to the store.
func (b *backend) write(entry map[string]any) {
	b.fleet.store.Put("servers/"+b.id, entry)
	b.fleet.record.logf("backend %s writes state %v, sequence %v, cold %.2f", b.id, entry["state"], entry["sequence"], entry["coldRemainingS"])
}

// beat registers now and then at each heartbeat.
func (b *backend) beat() {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.write(b.next())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beats = time.AfterFunc(heartbeat, b.beat)
}

// drain reports that the backend leaves, and goes on with its heartbeats.
func (b *backend) drain() {
	b.mu.Lock()
	b.beats.Stop()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
}

// ran returns the requests that the backend has begun to run.
func (b *backend) ran() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]arrival, len(b.arrivals))
	for i, a := range b.arrivals {
		out[i] = *a
	}
	return out
}

func (b *backend) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(c)
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if r.Header.Get("Expected-Instance") != b.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, b.id)
			continue
		}
		b.mu.Lock()
		if b.running >= 4*b.slots {
			b.mu.Unlock()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		a := &arrival{id: id, method: r.Method, uri: r.RequestURI, at: time.Now()}
		b.arrivals = append(b.arrivals, a)
		b.running++
		leaving, running := "", b.running
		if b.state == "draining" {
			leaving = "Server-Leaving: 1\r\n"
		}
		b.mu.Unlock()
		b.fleet.record.logf("backend %s runs %s %s, id %s", b.id, r.Method, r.RequestURI, id)
		time.Sleep(b.work(r))
		body, cut := b.body(r), b.cut(r)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s.%s\r\nServer-Load: %d,0,%d\r\n%sContent-Length: %d\r\n\r\n", id, id, running, b.slots, leaving, len(body))
		if cut >= 0 {
			body = body[:cut]
		}
		_, err = c.Write(append([]byte(head), body...))
		b.mu.Lock()
		b.running--
		a.done = err == nil && cut < 0
		b.mu.Unlock()
		if err != nil || cut >= 0 {
			return
		}
	}
}
