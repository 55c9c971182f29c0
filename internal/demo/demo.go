// Package demo runs a small system in one process: stand-ins for the platform and for
// two targets, and instances in two availability zones. It plays the part of the
// operator and of the callers: it configures a workspace, sends requests, drains an
// availability zone and withdraws a key.
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

// The parties listen on IP addresses of their own, with the ports below.
const (
	operatorToken  = "demo-operator"
	keySecret      = "demo-secret"
	keyID          = "quito-1"
	callerPort     = 17000
	peerPort       = 17001
	operatorPort   = 17002
	slotsPerTarget = 6
	serviceTime    = 2 * time.Millisecond
	stepTimeout    = 20 * time.Second      // for each condition that a step waits for
	pollInterval   = 50 * time.Millisecond // between two checks of a condition
	callTimeout    = 5 * time.Second       // for one HTTP request
)

// fleet holds the instances with their availability zones and the last numbers of
// their IP addresses.
var fleet = []struct{ name, zone, hostNumber string }{
	{"sierra-1-a", "sierra-1", "11"},
	{"sierra-1-b", "sierra-1", "12"},
	{"costa-1-a", "costa-1", "13"},
}

// demo is one run of the demo.
type demo struct {
	out           io.Writer
	networkPrefix string // first three numbers of a loopback network
	client        *http.Client
	api           *operator.Client
}

// Run runs the demo. It writes the progress to out and the instances' logs to logs. It
// ends at the first step that fails, and returns its error.
func Run(ctx context.Context, out, logs io.Writer) error {
	networkPrefix, reservation, err := freeNetwork()
	if err != nil {
		return err
	}
	defer func() { _ = reservation.Close() }()
	client := &http.Client{Timeout: callTimeout}
	d := &demo{out: out, networkPrefix: networkPrefix, client: client}
	d.api = &operator.Client{BaseURL: fmt.Sprintf("http://%s.11:%d", networkPrefix, operatorPort), Token: operatorToken, HTTP: client}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop, shutDown := context.WithCancel(ctx)
	defer shutDown()
	group, ctx := errgroup.WithContext(ctx)
	if err := d.start(ctx, stop, group, logs); err != nil {
		return err
	}
	if err := d.runSteps(ctx); err != nil {
		return err
	}
	d.printf("stopping: every instance leaves gracefully")
	shutDown()
	err = group.Wait()
	d.printf("done")
	return err
}

// printf writes a line of the demo's output.
func (d *demo) printf(format string, args ...any) { fmt.Fprintf(d.out, "demo: "+format+"\n", args...) }

// address returns IP:port for the last number of an IP address in the demo's network.
func (d *demo) address(hostNumber string, port int) string {
	return fmt.Sprintf("%s.%s:%d", d.networkPrefix, hostNumber, port)
}

// start starts the stand-ins and the instances. They run until stop ends; the instances
// then shut down gracefully, at the latest when ctx ends.
func (d *demo) start(ctx, stop context.Context, group *errgroup.Group, logs io.Writer) error {
	var instances []platform.Instance
	for _, f := range fleet {
		instances = append(instances, platform.Instance{
			Name: f.name, AvailabilityZone: f.zone, State: platform.InstanceLive,
			Address: d.address(f.hostNumber, callerPort), PeerAddress: d.address(f.hostNumber, peerPort),
		})
	}
	listener, err := net.Listen("tcp4", d.address("1", callerPort))
	if err != nil {
		return err
	}
	group.Go(func() error { return standinplatform.New(instances).Serve(stop, listener) })
	for i, hostNumber := range []string{"21", "22"} {
		if err := d.startTarget(stop, group, hostNumber, fmt.Sprintf("listings-%d", i+1)); err != nil {
			return err
		}
	}
	for _, f := range fleet {
		s, err := server.Provision(server.Options{
			Name: f.name, AvailabilityZone: f.zone, Listen: d.address(f.hostNumber, callerPort),
			PeerListen: d.address(f.hostNumber, peerPort), OperatorListen: d.address(f.hostNumber, operatorPort),
			Platform: d.address("1", callerPort), OperatorToken: operatorToken,
			KeyFreshness: callTimeout, ReserveBound: time.Hour, LogLevel: "info",
		}, logs)
		if err != nil {
			return err
		}
		group.Go(func() error { return s.Run(stop, ctx) })
	}
	d.printf("started a platform, 2 targets and %d instances on %s.0/24", len(fleet), d.networkPrefix)
	return nil
}

// startTarget starts a stand-in for a target, which runs until stop ends.
func (d *demo) startTarget(stop context.Context, group *errgroup.Group, hostNumber, name string) error {
	listener, err := net.Listen("tcp4", d.address(hostNumber, callerPort))
	if err != nil {
		return err
	}
	handler := target.New(target.Options{Name: name, Slots: slotsPerTarget, ServiceTime: serviceTime, AnswerBytes: 128})
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	group.Go(func() error {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(stop, func() { _ = httpServer.Close() })
	return nil
}

// freeNetwork returns the first three numbers of a loopback network that no other
// demo uses, so that several can run at once, and the listener that reserves the
// network until it is closed.
func freeNetwork() (string, net.Listener, error) {
	for i := range 200 {
		networkPrefix := fmt.Sprintf("127.77.%d", i)
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.254:%d", networkPrefix, callerPort))
		if err == nil {
			return networkPrefix, listener, nil
		}
	}
	return "", nil, errors.New("no loopback network 127.77.x.0/24 is free")
}
