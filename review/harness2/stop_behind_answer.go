package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// lossSlack is lossSlackS.
	lossSlack = 200 * time.Millisecond
	// stopWork is how long the backend works on a request.
	stopWork = time.Second
	// stopConns is the number of connections on which a request follows another.
	stopConns = 5
)

// stopBehindAnswer plays the SIGTERM of an instance whose clients go on using their open
// connections. On each, a request that may not be repeated follows one whose answer is due.
// The rule is LOST: a request that the process has read whole gets an answer.
func stopBehindAnswer(f *fleet, trouble bool) (bool, error) {
	f.store.Put("op/config", configuration(1, usualQuota))
	if _, err := f.addBackend("i-one", service, "sierra-a", 12, stopWork); err != nil {
		return false, err
	}
	i, err := f.addInstance("front-sierra-a-1", "sierra-a")
	if err != nil {
		return false, err
	}
	if _, err := f.addInstance("front-sierra-b-1", "sierra-b"); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	var conns []*clientConn
	for range stopConns {
		c, err := dial(f.record, i.front())
		if err != nil {
			return false, err
		}
		defer func() { _ = c.Close() }()
		warm := newRequest(http.MethodGet, "/browse/0", "0")
		if err := c.send(warm); err != nil {
			return false, err
		}
		if a := c.receive(warm, 3*time.Second); a.err != nil || a.status != http.StatusOK {
			return false, fmt.Errorf("before the stop: status %d, %w", a.status, a.err)
		}
		conns = append(conns, c)
	}
	if trouble {
		i.signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	lost := make(chan bool)
	for n, c := range conns {
		go func() { lost <- losesSecond(c, n) }()
	}
	bad := 0
	for range conns {
		if <-lost {
			bad++
		}
	}
	f.record.logf("LOST: %d of %d requests that the instance had read whole got no answer", bad, stopConns)
	return bad > 0, nil
}

// losesSecond sends two requests, the second before the answer to the first, and reports
// whether the second gets no answer though the instance has read it long before.
func losesSecond(c *clientConn, n int) bool {
	first, second := newRequest(http.MethodGet, "/browse/1", fmt.Sprint(2*n)), newRequest(http.MethodPost, "/reserve/1", fmt.Sprint(2*n+1))
	if c.send(first) != nil {
		return false
	}
	time.Sleep(100 * time.Millisecond)
	if c.send(second) != nil {
		return false
	}
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	unread, known := unreadBytes(c)
	c.record.logf("of the bytes sent on %s, the instance has yet to read %d (known: %t)", c.LocalAddr(), unread, known)
	if a := c.receive(first, 3*time.Second); a.err != nil {
		return false
	}
	b := c.receive(second, 4*time.Second)
	ended := time.Since(sent)
	c.record.logf("request %s ended %.3f s after its last byte was sent", second.id, ended.Seconds())
	return b.err != nil && known && unread == 0 && ended > lossSlack && ended < 2*time.Second
}

// unreadBytes returns how many bytes the other end of a loopback connection has received and
// not read, as the system tells in /proc/net/tcp.
func unreadBytes(c net.Conn) (n int64, known bool) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, false
	}
	defer func() { _ = file.Close() }() // it was only read
	ours, theirs := procAddress(c.LocalAddr()), procAddress(c.RemoteAddr())
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != theirs || fields[2] != ours {
			continue
		}
		var sending int64
		if _, err := fmt.Sscanf(fields[4], "%X:%X", &sending, &n); err != nil {
			return 0, false
		}
		return n, true
	}
	return 0, false
}

// procAddress returns an address as /proc/net/tcp writes it on a little-endian machine.
func procAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
