package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/settings"
	standinplatform "github.com/turmericfield/turmericfield/internal/standin/platform"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an outside system"}
	cmd.AddCommand(newStandinPlatform(), newStandinTarget(), newStandinTargets(), newStandinAuthority(), newStandinRegistry())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var listen string
	var instances []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's store and instance list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := parseInstances(instances)
			if err != nil {
				return err
			}
			listener, err := bindListener("listen", listen)
			if err != nil {
				return err
			}
			stop, _ := signals(cmd.Context())
			platform := standinplatform.New(list)
			start := time.Now()
			err = platform.Serve(stop, listener)
			fmt.Fprintf(cmd.OutOrStdout(), "%d reads, %d writes, %d watches in %.1f s\n",
				platform.Calls.Reads.Load(), platform.Calls.Writes.Load(), platform.Calls.Watches.Load(), time.Since(start).Seconds())
			return err
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "", "IP:port to serve on")
	cmd.Flags().StringArrayVar(&instances, "instance", nil, "an instance as name,zone,address,peer-address; may be repeated")
	return cmd
}

func newStandinTarget() *cobra.Command {
	var listen string
	var o target.Options
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Run a stand-in for a target",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkTarget(o); err != nil {
				return err
			}
			listener, err := bindListener("listen", listen)
			if err != nil {
				return err
			}
			stop, kill := signals(cmd.Context())
			return serveUntil(stop, kill, target.NewServer(target.New(o)), listener)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "", "IP:port to serve on")
	f.StringVar(&o.Name, "name", "target", "name of the target")
	f.IntVar(&o.Slots, "slots", 6, "requests that run at once")
	f.DurationVar(&o.ServiceTime, "service-time", 5*time.Millisecond, "time that a request takes")
	f.IntVar(&o.AnswerBytes, "answer-bytes", 512, "bytes of an answer")
	f.Int64Var(&o.ColdRequests, "cold-requests", 0, "number of first requests that are slow")
	f.DurationVar(&o.ColdTime, "cold-time", 0, "time from the start in which requests are slow")
	f.Float64Var(&o.ColdFactor, "cold-factor", 10, "how many times its service time a slow request takes")
	f.Int64Var(&o.MuteAfter, "mute-after", 0, "answers after which a connection goes silent; 0 for never")
	f.Float64Var(&o.FaultShare, "fault-share", 0, "share of requests that fail in one of the ways, 0 to 1")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the schedule of faults")
	return cmd
}

func checkTarget(o target.Options) error {
	var p settings.Problems
	if o.FaultShare < 0 || o.FaultShare > 1 {
		p.Add("fault-share", "must be 0 to 1, is %g", o.FaultShare)
	}
	if o.Slots < 1 {
		p.Add("slots", "must be at least 1, is %d", o.Slots)
	}
	if o.AnswerBytes < 0 {
		p.Add("answer-bytes", "must not be negative, is %d", o.AnswerBytes)
	}
	return errors.Mark(p.Err(), errUsage)
}

func parseInstances(values []string) ([]platform.Instance, error) {
	var p settings.Problems
	var list []platform.Instance
	for _, value := range values {
		parts := strings.Split(value, ",")
		if len(parts) != 4 {
			p.Add("instance", "%q is not name,zone,address,peer-address", value)
			continue
		}
		p.RequireAddress("instance", parts[2])
		p.RequireAddress("instance", parts[3])
		list = append(list, platform.Instance{Name: parts[0], AvailabilityZone: parts[1], Address: parts[2], PeerAddress: parts[3], State: platform.InstanceLive})
	}
	return list, errors.Mark(p.Err(), errUsage)
}

func bindListener(flag, address string) (net.Listener, error) {
	var p settings.Problems
	p.RequireAddress(flag, address)
	if err := p.Err(); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "--%s", flag)
}

func serveUntil(stop, kill context.Context, server *http.Server, listener net.Listener) error {
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return err
	case <-stop.Done():
		return server.Shutdown(kill)
	}
}
