package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pipelineDepth = 4
	downloadBytes = 300_000 // within the sheet's largest, 540,000
)

// pipelined is one request that was sent ahead on a kept connection.
type pipelined struct {
	id       string
	sentAt   time.Time
	kept     bool // whether its connection had carried an answer before
	answered bool // whether any byte of its answer came
	complete bool
}

// brokenDownloads: clients send safe requests ahead, and some backends break off some of
// their answers.
func brokenDownloads(rec *record, trouble bool) {
	const (
		garbledShare = 0.5  // of the backends
		brokenShare  = 0.05 // of their answers
		garbleAt     = 3 * time.Second
		garbleFor    = 5500 * time.Millisecond
		connections  = 6
		playFor      = 12 * time.Second
	)
	f := newFleet(rec, 12, map[string]string{"sierra-a": "sierra", "costa-a": "costa", "oriente-a": "oriente"})
	f.store.Put("op/config", configuration(7, service("records"), tenants(), limits(), route("archive", "/archive/", "download", "records", 4, 0.5, 2)))
	var mu sync.Mutex
	var garbling atomic.Bool
	unsound := map[string]bool{}   // backends that break off answers
	brokenOff := map[string]bool{} // requests whose answer its backend broke off
	for i, zone := range []string{"sierra-a", "costa-a", "oriente-a", "sierra-a", "costa-a", "oriente-a"} {
		b := f.newBackend(1+i, "records", zone, 6, 40*time.Millisecond)
		garbles := float64(i) < garbledShare*6
		unsound[b.id] = garbles
		b.answer = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(downloadBytes))
			text := strings.Repeat("d", downloadBytes)
			if garbles && garbling.Load() && rand.Float64() < brokenShare {
				mu.Lock()
				brokenOff[r.Header.Get("Attempt-Id")] = true
				mu.Unlock()
				_, _ = io.WriteString(w, text[:downloadBytes/2])
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
		}
	}
	f.startMachines("sierra-a", "costa-a", "oriente-a")
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	time.AfterFunc(garbleAt, func() {
		garbling.Store(trouble)
		rec.note("backends break off answers: %v", trouble)
	})
	time.AfterFunc(garbleAt+garbleFor, func() {
		garbling.Store(false)
		rec.note("they stop")
	})
	var wg sync.WaitGroup
	batches := make(map[string][][]*pipelined) // by machine
	next := 0
	for i := range connections {
		m := f.machines[i%len(f.machines)]
		wg.Go(func() {
			for ctx.Err() == nil {
				rest := pipelineOn(rec, m, ctx, func() string {
					mu.Lock()
					defer mu.Unlock()
					next++
					return fmt.Sprintf("9c41d07c%08x", next)
				}, func(batch []*pipelined) {
					mu.Lock()
					defer mu.Unlock()
					batches[m.name] = append(batches[m.name], batch)
				})
				if rest != "" {
					rec.note("connection to %s: %s", m.name, rest)
				}
			}
		})
	}
	wg.Wait()
	ranAt, onSound := map[string]string{}, map[string]bool{}
	for _, b := range f.backends {
		for _, a := range b.allArrivals() {
			onSound[a.id] = !unsound[b.id]
			ranAt[a.id] += fmt.Sprintf("%s at %.3f s ", b.id, rec.since(a.at))
		}
	}
	for _, m := range f.machines {
		lost := 0
		for _, batch := range batches[m.name] {
			for i, p := range batch {
				rec.noteAt(p.sentAt, "request %s to %s, %d of %d; complete answer: %v; ran: %s; its backend broke off: %v", p.id, m.name, i+1, len(batch), p.complete, ranAt[p.id], brokenOff[p.id])
				if p.kept && !p.answered && onSound[p.id] {
					lost++
				}
			}
		}
		if lost > 3 {
			rec.verdict("LOST: %s passed %d requests of kept connections on to sound backends and closed the connections without an answer; three are allowed", m.name, lost)
		} else {
			rec.note("%s closed kept connections without an answer to %d requests that it had passed on to sound backends", m.name, lost)
		}
	}
}

// pipelineOn keeps a connection and sends batches of requests on it until it ends. It
// returns why it ended.
func pipelineOn(rec *record, m *machine, ctx context.Context, newID func() string, sent func([]*pipelined)) string {
	c, err := net.DialTimeout("tcp4", m.front(), time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	carried := false // whether an answer has come
	for ctx.Err() == nil {
		var batch []*pipelined
		text := ""
		for range pipelineDepth {
			p := &pipelined{id: newID(), sentAt: time.Now(), kept: carried}
			batch = append(batch, p)
			text += "GET /archive/1 HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + p.id + "\r\nAffinity-Key: " + fmt.Sprint(rand.IntN(24)) + "\r\nDeadline-Ms: 4000\r\nApi-Key: " + apiKey + "\r\n\r\n"
		}
		sent(batch)
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := io.WriteString(c, text); err != nil {
			return err.Error()
		}
		for i, p := range batch {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return fmt.Sprintf("no answer to request %d of a batch: %v", i+1, err)
			}
			p.answered, carried = true, true
			n, err := io.Copy(io.Discard, response.Body)
			if err != nil {
				return fmt.Sprintf("answer %d of a batch ends after %d bytes: %v", i+1, n, err)
			}
			p.complete = response.StatusCode == http.StatusOK
			if response.Close && i+1 < len(batch) {
				return "closed by the answer"
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}
