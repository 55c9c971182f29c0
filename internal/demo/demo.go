// Package demo runs a small whole system in one process: a platform and target
// stand-ins, instances in two availability zones, and an operator who admits,
// withdraws and drains.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/server"
	standinplatform "github.com/turmericfield/turmericfield/internal/standin/platform"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

const (
	token        = "demo-operator"
	secret       = "demo-secret"
	keyID        = "quito-1"
	callerPort   = 17000
	peerPort     = 17001
	operatorPort = 17002
	slots        = 6
	serviceTime  = 2 * time.Millisecond
	patience     = 20 * time.Second
	pollPeriod   = 50 * time.Millisecond
	callTimeout  = 5 * time.Second
)

// fleet is the demo's instances, by name, with their availability zones.
var fleet = []struct{ name, zone, host string }{
	{"sierra-1-a", "sierra-1", "11"},
	{"sierra-1-b", "sierra-1", "12"},
	{"costa-1-a", "costa-1", "13"},
}

// demo is one run.
type demo struct {
	out     io.Writer
	network string // first three numbers of a loopback network
	client  *http.Client
	api     *operator.Client
}

// Run plays the demo, tells each step on out, and returns the first thing that
// went otherwise than it should.
func Run(ctx context.Context, out, logs io.Writer) error {
	network, reservation, err := freeNetwork()
	if err != nil {
		return err
	}
	defer func() { _ = reservation.Close() }()
	client := &http.Client{Timeout: callTimeout}
	d := &demo{out: out, network: network, client: client}
	d.api = &operator.Client{BaseURL: fmt.Sprintf("http://%s.11:%d", network, operatorPort), Token: token, HTTP: client}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop, leave := context.WithCancel(ctx)
	defer leave()
	group, ctx := errgroup.WithContext(ctx)
	if err := d.start(ctx, stop, group, logs); err != nil {
		return err
	}
	if err := d.play(ctx); err != nil {
		return err
	}
	d.say("stopping: every instance leaves gracefully")
	leave()
	err = group.Wait()
	d.say("done")
	return err
}

func (d *demo) say(format string, args ...any) { fmt.Fprintf(d.out, "demo: "+format+"\n", args...) }

func (d *demo) address(host string, port int) string {
	return fmt.Sprintf("%s.%s:%d", d.network, host, port)
}

// start runs the stand-ins and the instances.
func (d *demo) start(ctx, stop context.Context, group *errgroup.Group, logs io.Writer) error {
	var list []platform.Instance
	for _, f := range fleet {
		list = append(list, platform.Instance{
			Name: f.name, AvailabilityZone: f.zone, State: platform.InstanceLive,
			Address: d.address(f.host, callerPort), PeerAddress: d.address(f.host, peerPort),
		})
	}
	listener, err := net.Listen("tcp4", d.address("1", callerPort))
	if err != nil {
		return err
	}
	group.Go(func() error { return standinplatform.New(list).Serve(stop, listener) })
	for i, host := range []string{"21", "22"} {
		if err := d.startTarget(stop, group, host, fmt.Sprintf("listings-%d", i+1)); err != nil {
			return err
		}
	}
	for _, f := range fleet {
		s, err := server.Provision(server.Options{
			Name: f.name, AvailabilityZone: f.zone, Listen: d.address(f.host, callerPort),
			PeerListen: d.address(f.host, peerPort), OperatorListen: d.address(f.host, operatorPort),
			Platform: d.address("1", callerPort), OperatorToken: token,
			KeyFreshness: callTimeout, ReserveBound: time.Hour, LogLevel: "info",
		}, logs)
		if err != nil {
			return err
		}
		group.Go(func() error { return s.Run(stop, ctx) })
	}
	d.say("started a platform, 2 targets and %d instances on %s.0/24", len(fleet), d.network)
	return nil
}

func (d *demo) startTarget(stop context.Context, group *errgroup.Group, host, name string) error {
	listener, err := net.Listen("tcp4", d.address(host, callerPort))
	if err != nil {
		return err
	}
	t := target.New(target.Options{Name: name, Slots: slots, ServiceTime: serviceTime, AnswerBytes: 128})
	s := &http.Server{Handler: t, ReadHeaderTimeout: callTimeout}
	group.Go(func() error {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(stop, func() { _ = s.Close() })
	return nil
}

// freeNetwork returns the first three numbers of a loopback network that no
// other demo uses, and the listener that reserves it until it is closed.
func freeNetwork() (string, net.Listener, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.77.%d", i)
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.254:%d", network, callerPort))
		if err == nil {
			return network, listener, nil
		}
	}
	return "", nil, errors.New("no loopback network 127.77.x.0/24 is free")
}
