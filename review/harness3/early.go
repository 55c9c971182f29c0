package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	uploadBytes  = 300_000
	uploadPiece  = 12_500 // at 10 Mbit/s one each 10 ms
	uploadPeriod = 10 * time.Millisecond
	answerAfter  = 64 << 10 // bytes of the body
	// longAnswerBytes is within the largest answer on the sheets, 540,000 bytes.
	longAnswerBytes = 400_000
)

// upload is one request with a long body.
type upload struct {
	id, to, sum string
	sentAt      time.Time
	sent        int // bytes of the body
	sendErr     string
	status      int // 0 without a whole answer
	sealed      bool
	answerBytes int64
	answerErr   string
	got         int    // bytes of the body that a backend got
	gotSum      string // "" if the body ended before its length
	ranBy       string
}

// earlyAnswers: backends answer a long request before they have read all of it, keep the
// connection and read on.
func earlyAnswers(rec *record, trouble bool) {
	all := playUploads(rec, 14, trouble, "ok\n", true)
	broken := 0
	for _, u := range all {
		if u.status == http.StatusOK && u.sealed && u.gotSum != u.sum {
			broken++
		}
	}
	if broken > 0 {
		rec.verdict("UNASKED: %d of %d requests were run and answered 200 with the backend's seal, and the backend, which read on, got another body than the client sent", broken, len(all))
	}
}

// earlyLongAnswers is the same with long answers, which clients read once they have sent the
// request.
func earlyLongAnswers(rec *record, trouble bool) {
	all := playUploads(rec, 12, trouble, strings.Repeat("y", longAnswerBytes), false)
	without, partial := map[string]int{}, map[string]int{}
	for _, u := range all {
		if u.ranBy == "" || u.status != 0 {
			continue
		}
		if without[u.to]++; u.answerBytes > 0 {
			partial[u.to]++
		}
	}
	for _, m := range slices.Sorted(maps.Keys(without)) {
		if without[m] > 3 {
			rec.verdict("LOST: %s passed %d requests of kept connections on to sound backends, which answered, and closed the connections without a whole answer (with a part of it: %d); three are allowed", m, without[m], partial[m])
		}
	}
}

// playUploads plays uploads to backends that send the answer. meanwhile says whether clients
// read the answer while they send.
func playUploads(rec *record, block int, early bool, answer string, meanwhile bool) []*upload {
	const uploads = 60
	f := newFleet(rec, block, map[string]string{"sierra-a": "sierra", "costa-a": "costa", "oriente-a": "oriente"})
	f.store.Put("op/config", configuration(7, service("records"), tenants(), limits(), route("vaccine-log", "/vaccine-log/", "unsafe", "records", 4, 0.5, 2)))
	var mu sync.Mutex
	all := map[string]*upload{}
	for i, zone := range []string{"sierra-a", "costa-a", "oriente-a"} {
		b := &backend{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a9100+1+i), service: "records", zone: zone, slots: 6, address: f.address(101+i, backendPort), born: time.Now().UnixMilli()}
		f.backends = append(f.backends, b)
		l := listen(rec, b.address)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go b.serveUploads(c, early, answer, func(id string, got int, sum string) {
					mu.Lock()
					defer mu.Unlock()
					if u := all[id]; u != nil {
						u.got, u.gotSum, u.ranBy = got, sum, b.id
					}
				})
			}
		}()
		b.heartbeat()
	}
	f.startMachines("sierra-a", "costa-a", "oriente-a")
	var wg sync.WaitGroup
	for i := range uploads {
		u := &upload{id: fmt.Sprintf("9c41d07d%08x", i+1)}
		mu.Lock()
		all[u.id] = u
		mu.Unlock()
		m := f.machines[i%len(f.machines)]
		wg.Go(func() { u.send(m, meanwhile) })
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second) // backends read on
	mu.Lock()
	defer mu.Unlock()
	var list []*upload
	for _, u := range all {
		rec.noteAt(u.sentAt, "request %s to %s, body of %d bytes %s: %d bytes sent %s; answer %d, sealed: %v, %d bytes of its body %s; run by %s, which got %d bytes, whole: %v", u.id, u.to, uploadBytes, u.sum[:8], u.sent, u.sendErr, u.status, u.sealed, u.answerBytes, u.answerErr, u.ranBy, u.got, u.gotSum == u.sum)
		list = append(list, u)
	}
	return list
}

// send sends the request, all of it, and reads the answer meanwhile or then.
func (u *upload) send(m *machine, meanwhile bool) {
	body := make([]byte, uploadBytes)
	for i := range body {
		body[i] = byte('a' + rand.IntN(26))
	}
	sum := sha256.Sum256(body)
	u.sum, u.to = hex.EncodeToString(sum[:]), m.name
	c, err := net.DialTimeout("tcp4", m.front(), time.Second)
	if err != nil {
		u.sendErr = err.Error()
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	reader := bufio.NewReader(c)
	if !u.keep(c, reader) {
		return
	}
	u.sentAt = time.Now()
	_, _ = io.WriteString(c, "POST /vaccine-log/1 HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: "+u.id+"\r\nAffinity-Key: "+u.id[12:]+"\r\nDeadline-Ms: 6000\r\nApi-Key: "+apiKey+"\r\nContent-Length: "+strconv.Itoa(uploadBytes)+"\r\n\r\n")
	done := make(chan struct{})
	read := func() {
		defer close(done)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			u.answerErr = "(" + err.Error() + ")"
			return
		}
		if u.answerBytes, err = io.Copy(io.Discard, response.Body); err != nil {
			u.answerErr = "(" + err.Error() + ")"
			return
		}
		u.status, u.sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
	}
	if meanwhile {
		go read()
	}
	for u.sent < uploadBytes {
		n, err := c.Write(body[u.sent:min(u.sent+uploadPiece, uploadBytes)])
		u.sent += n
		if err != nil {
			u.sendErr = "(" + err.Error() + ")"
			break
		}
		time.Sleep(uploadPeriod)
	}
	if !meanwhile {
		read()
	}
	<-done
}

// keep sends a short request first, so that the upload comes on a kept connection.
func (u *upload) keep(c net.Conn, reader *bufio.Reader) bool {
	_, _ = io.WriteString(c, "GET /none HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: 0"+u.id[1:]+"\r\nDeadline-Ms: 4000\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		u.sendErr = err.Error()
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}

// serveUploads serves one connection. With early set, an answer comes before the rest of the
// body, which is read on then.
func (b *backend) serveUploads(c net.Conn, early bool, text string, got func(id string, bytes int, sum string)) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		answer := func() error {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: 3e1b.%s\r\nServer-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s", id, id, b.slots, len(text), text)
			return err
		}
		h, read := sha256.New(), 0
		if early {
			n, err := io.CopyN(h, r.Body, answerAfter)
			if read += int(n); err != nil || answer() != nil {
				got(id, read, "")
				return
			}
		}
		n, err := io.Copy(h, r.Body)
		if read += int(n); err != nil {
			got(id, read, "")
			return
		}
		got(id, read, hex.EncodeToString(h.Sum(nil)))
		if !early && answer() != nil {
			return
		}
	}
}
