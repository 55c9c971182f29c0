package peer

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/api/peerpb"
)

// silencingProxy is a TCP proxy that can stop forwarding on all open connections
// without closing them, as a broken network path does. New connections still work.
type silencingProxy struct {
	net.Listener
	generation atomic.Int64 // only connections opened in this generation forward data
}

// newProxy starts a proxy in front of the address target.
func newProxy(t *testing.T, target string) *silencingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silencingProxy{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			generation := p.generation.Load()
			go p.copy(out, in, generation)
			go p.copy(in, out, generation)
		}
	}()
	return p
}

// copy copies one direction of a connection, and discards the data once the
// generation has changed.
func (p *silencingProxy) copy(to io.WriteCloser, from io.Reader, generation int64) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.generation.Load() == generation {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// serve runs a network that counts the messages it receives, and returns its address.
func serve(t *testing.T, received *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := New("b", nil, Handlers{Receive: func(*peerpb.Envelope) { received.Add(1) }})
	go func() { _ = server.Serve(ctx, listener, nil); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// A connection that loses everything without being closed must be replaced after
// maxConsecutiveTimeouts calls, since a new connection to the instance works.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var received atomic.Int64
	proxy := newProxy(t, serve(t, &received))
	n := New("a", nil, Handlers{})
	defer n.Close()
	send := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return n.Send(ctx, proxy.Addr().String(), &peerpb.Envelope{})
	}
	if err := send(sendTimeout); err != nil {
		t.Fatal(err)
	}
	proxy.generation.Add(1)
	for range maxConsecutiveTimeouts {
		if err := send(50 * time.Millisecond); err == nil {
			t.Fatal("a silent connection answered")
		}
	}
	if err := send(sendTimeout); err != nil {
		t.Fatalf("the silent connection was not replaced: %v", err)
	}
	if received.Load() != 2 {
		t.Errorf("%d messages arrived, want 2", received.Load())
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	n := New("a", nil, Handlers{})
	defer n.Close()
	for port := range 2 * maxConnections {
		if _, err := n.connectionTo(net.JoinHostPort("127.0.0.1", strconv.Itoa(20000+port))); err != nil {
			t.Fatal(err)
		}
	}
	if len(n.connections) > maxConnections {
		t.Errorf("%d connections are open, more than maxConnections", len(n.connections))
	}
}

func TestFaultDropsCalls(t *testing.T) {
	var received atomic.Int64
	address := serve(t, &received)
	n := New("a", nil, Handlers{})
	defer n.Close()
	n.SetFault(func(string) (time.Duration, bool) { return 0, true })
	if err := n.Send(context.Background(), address, &peerpb.Envelope{}); err == nil || received.Load() != 0 {
		t.Fatalf("error %v, %d messages arrived", err, received.Load())
	}
	n.SetFault(nil)
	if err := n.Send(context.Background(), address, &peerpb.Envelope{}); err != nil || received.Load() != 1 {
		t.Fatalf("error %v, %d messages arrived", err, received.Load())
	}
}
