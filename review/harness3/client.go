package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id       string
	to       string // machine's name
	path     string
	sentAt   time.Time
	status   int // 0: no answer
	answered time.Time
	err      string
}

// clients send requests over kept connections.
type clients struct {
	rec *record
	// anonymous clients send no key.
	anonymous bool
	http      *http.Client
	next      atomic.Int64
	mu        sync.Mutex
	sent      map[string]*attempt
	random    *rand.Rand
	wg        sync.WaitGroup
}

func newClients(rec *record) *clients {
	return &clients{
		rec: rec, sent: map[string]*attempt{}, random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}},
	}
}

func (c *clients) newID() string { return fmt.Sprintf("9c41d07b%08x", c.next.Add(1)) }

// object returns a random object of n.
func (c *clients) object(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.random.IntN(n))
}

// send sends one request in the background.
func (c *clients) send(m *machine, method, path, object string, deadline time.Duration) *attempt {
	a := &attempt{id: c.newID(), to: m.name, path: path, sentAt: time.Now()}
	c.mu.Lock()
	c.sent[a.id] = a
	c.mu.Unlock()
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		body := io.Reader(nil)
		if method == http.MethodPost {
			body = strings.NewReader(strings.Repeat("b", 300))
		}
		r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, body)
		if err != nil {
			c.rec.cannotRun("%v", err)
		}
		r.Host = host
		r.Header.Set("Attempt-Id", a.id)
		r.Header.Set("Affinity-Key", object)
		r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
		if !c.anonymous {
			r.Header.Set("Api-Key", apiKey)
		}
		status, text := 0, ""
		if response, err := c.http.Do(r); err != nil {
			text = err.Error()
		} else {
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				text = err.Error()
			} else {
				status = response.StatusCode
			}
			_ = response.Body.Close()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		a.status, a.err, a.answered = status, text, time.Now()
	})
	return a
}

// noteAll writes all attempts into the record.
func (c *clients) noteAll(ran map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.sent {
		answer := fmt.Sprint(a.status)
		if a.status == 0 {
			answer = "none, " + a.err
		}
		c.rec.noteAt(a.sentAt, "request %s %s to %s; answer after %.0f ms: %s; ran: %s", a.id, a.path, a.to, a.answered.Sub(a.sentAt).Seconds()*1000, answer, ran[a.id])
	}
}
