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

// newStandin returns the group of commands that run stand-ins: small servers that
// imitate the platform and the targets, for trying and testing the system.
func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an outside system"}
	cmd.AddCommand(newStandinPlatform(), newStandinTarget(), newStandinTargets(), newStandinAuthority(), newStandinRegistry())
	return cmd
}

// newStandinPlatform returns the command that imitates a platform with a key-value
// store and a list of instances. When it ends it prints how often it was called.
func newStandinPlatform() *cobra.Command {
	var listen string
	var instanceSpecs []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's store and instance list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := parseInstances(instanceSpecs)
			if err != nil {
				return err
			}
			listener, err := bindListener("listen", listen)
			if err != nil {
				return err
			}
			stop, _ := signals(cmd.Context())
			standIn := standinplatform.New(list)
			start := time.Now()
			err = standIn.Serve(stop, listener)
			fmt.Fprintf(cmd.OutOrStdout(), "%d reads, %d writes, %d watches in %.1f s\n",
				standIn.Calls.Reads.Load(), standIn.Calls.Writes.Load(), standIn.Calls.Watches.Load(), time.Since(start).Seconds())
			return err
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "", "IP:port to serve on")
	cmd.Flags().StringArrayVar(&instanceSpecs, "instance", nil, "an instance as name,zone,address,peer-address; may be repeated")
	return cmd
}

// newStandinTarget returns the command that imitates one target, which can be slow
// at first and can fail some of its requests.
func newStandinTarget() *cobra.Command {
	var listen string
	var options target.Options
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Run a stand-in for a target",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkTarget(options); err != nil {
				return err
			}
			listener, err := bindListener("listen", listen)
			if err != nil {
				return err
			}
			stop, kill := signals(cmd.Context())
			return serveUntil(stop, kill, target.NewServer(target.New(options)), listener)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "", "IP:port to serve on")
	flags.StringVar(&options.Name, "name", "target", "name of the target")
	flags.IntVar(&options.Slots, "slots", 6, "requests that run at once")
	flags.DurationVar(&options.ServiceTime, "service-time", 5*time.Millisecond, "time that a request takes")
	flags.IntVar(&options.AnswerBytes, "answer-bytes", 512, "bytes of an answer")
	flags.Int64Var(&options.ColdRequests, "cold-requests", 0, "number of first requests that are slow")
	flags.DurationVar(&options.ColdTime, "cold-time", 0, "time from the start in which requests are slow")
	flags.Float64Var(&options.ColdFactor, "cold-factor", 10, "how many times its service time a slow request takes")
	flags.Int64Var(&options.MuteAfter, "mute-after", 0, "answers after which a connection goes silent; 0 for never")
	flags.Float64Var(&options.FaultShare, "fault-share", 0, "share of requests that fail in one of the ways, 0 to 1")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the schedule of faults")
	return cmd
}

// checkTarget reports every fault of the flags.
func checkTarget(options target.Options) error {
	var p settings.Problems
	if options.FaultShare < 0 || options.FaultShare > 1 {
		p.Add("fault-share", "must be 0 to 1, is %g", options.FaultShare)
	}
	if options.Slots < 1 {
		p.Add("slots", "must be at least 1, is %d", options.Slots)
	}
	if options.AnswerBytes < 0 {
		p.Add("answer-bytes", "must not be negative, is %d", options.AnswerBytes)
	}
	return errors.Mark(p.Err(), errUsage)
}

// parseInstances parses instances that are given as name,zone,address,peer-address.
// All of them are in the state live.
func parseInstances(values []string) ([]platform.Instance, error) {
	var p settings.Problems
	var list []platform.Instance
	for _, value := range values {
		fields := strings.Split(value, ",")
		if len(fields) != 4 {
			p.Add("instance", "%q is not name,zone,address,peer-address", value)
			continue
		}
		p.RequireAddress("instance", fields[2])
		p.RequireAddress("instance", fields[3])
		list = append(list, platform.Instance{Name: fields[0], AvailabilityZone: fields[1], Address: fields[2], PeerAddress: fields[3], State: platform.InstanceLive})
	}
	return list, errors.Mark(p.Err(), errUsage)
}

// bindListener listens on the IP:port that a flag holds.
func bindListener(flag, address string) (net.Listener, error) {
	var p settings.Problems
	p.RequireAddress(flag, address)
	if err := p.Err(); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "--%s", flag)
}

// serveUntil serves until stop ends, and then finishes the requests in flight, at
// the latest when kill ends.
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
