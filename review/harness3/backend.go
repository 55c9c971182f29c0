package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// Of the site file of Cuyes Amigos.
	coldStart         = 3 * time.Second
	coldPerS          = 5.3
	coldSlowdown      = 2 // how many times as long work takes while a backend is cold
	heartbeatInterval = 1500 * time.Millisecond
	queueLength       = 18
)

// arrival is a request that reached a backend and was run there.
type arrival struct {
	id   string
	at   time.Time
	cold bool
	born int64
}

// backend is a stand-in of a backend. Its process may crash and start again under its id.
type backend struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	answer  func(w http.ResponseWriter, r *http.Request) // writes the body of the response; nil for a short one

	mu        sync.Mutex
	born      int64
	coldUntil time.Time
	server    *http.Server
	room      chan struct{}
	waiting   int
	sequence  int
	arrivals  []arrival
}

// newBackend starts a backend that has been running for a while.
func (f *fleet) newBackend(number int, serviceName, zone string, slots int, work time.Duration) *backend {
	b := &backend{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), service: serviceName, zone: zone, slots: slots, work: work, address: f.address(100+number, backendPort)}
	f.backends = append(f.backends, b)
	b.start(false)
	return b
}

// start starts the backend's process. One that starts during traffic is cold.
func (b *backend) start(cold bool) {
	b.mu.Lock()
	now := time.Now()
	b.born, b.sequence, b.room = now.UnixMilli(), 0, make(chan struct{}, b.slots)
	if cold {
		b.coldUntil = now.Add(coldStart)
	}
	server := &http.Server{Handler: b}
	b.server = server
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	server.RegisterOnShutdown(cancel)
	l := listen(b.fleet.rec, b.address)
	go func() { _ = server.Serve(l); cancel() }() // ends with crash
	go every(ctx, heartbeatInterval, b.heartbeat)
	b.fleet.rec.note("backend %s starts at %s, born %d, cold: %v", b.id, b.address, b.born, cold)
}

// crash ends the backend's process without a word. Its connections are reset or closed.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
	b.fleet.rec.note("backend %s crashes", b.id)
}

// heartbeat writes the registration, which fails while the store is down.
func (b *backend) heartbeat() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready",
		"coldRemainingS": max(time.Until(b.coldUntil).Seconds(), 0), "sequence": b.sequence, "born": b.born,
	}
	b.mu.Unlock()
	b.fleet.store.put("servers/"+b.id, entry)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	cold, born, room := time.Now().Before(b.coldUntil), b.born, b.room
	left := time.Until(b.coldUntil)
	b.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(room), 0, b.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		if cold {
			w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{id: id, at: time.Now(), cold: cold, born: born})
	full := b.waiting >= queueLength
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case room <- struct{}{}:
	case <-r.Context().Done():
		b.leaveQueue()
		return
	}
	b.leaveQueue()
	defer func() { <-room }()
	work := b.work
	if cold {
		work *= coldSlowdown
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Response-Seal", "3e1b."+id)
	if b.answer != nil {
		b.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "answer of "+b.id+" to "+id+"\n")
}

func (b *backend) leaveQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

func (b *backend) allArrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
