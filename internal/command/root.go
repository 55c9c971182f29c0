// Package command defines the command line.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/server"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1 // anything that has no code of its own
	exitUsage       = 2 // unknown command, flag or malformed setting
	exitInvalid     = 3 // a configuration or intent has findings, or a plan is refused
	exitConflict    = 4 // a plan is stale: another change came first
	exitUnavailable = 5 // the system or its store could not be reached
	exitUnknown     = 6 // a write may or may not have taken effect
)

const exitCodesHelp = `Global traffic steering system

Exit codes:
  0  success
  1  a failure that has no code of its own
  2  unknown command or flag, or a malformed setting
  3  a configuration or intent has findings, or the plan is refused
  4  the plan is stale: another change came first; make a new plan
  5  the system, its store or a writer cannot be reached; nothing was changed
  6  there was no answer: the change may have taken effect; confirm the same
     plan again, which never applies it twice`

// errUsage marks faults of the command line or of settings.
var errUsage = errors.New("usage")

// errUnreachable marks a read that got no answer.
var errUnreachable = errors.New("cannot be reached")

// errInvalid marks a refused plan.
var errInvalid = errors.New("plan is refused")

// Main runs the command line of this process and returns its exit code.
func Main() int {
	root := newRoot()
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "turmericfield: %v\n", err)
	return exitCode(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "turmericfield",
		Short:         "Global traffic steering system",
		Long:          exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(newServe(), newStandin(), newPlan(), newConfirm(), newStatus(), newLookup(),
		newValidate(), newEdge(), newExplain(), newLoad(), newDemo(), newVersion(), newExperiment())
	document(root)
	checkUsage(root)
	known := settings.EnvNames(allFlags(root)...)
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		return errors.Mark(settings.ReadEnvironment(cmd.Flags(), known), errUsage)
	}
	return root
}

// checkUsage marks wrong arguments of a command and of those below it as faults
// of usage, and makes a command that only groups others refuse unknown ones.
func checkUsage(cmd *cobra.Command) {
	for _, c := range cmd.Commands() {
		checkUsage(c)
	}
	if !cmd.Runnable() {
		cmd.Args = cobra.ArbitraryArgs
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return cmd.Help()
			}
			return errors.Mark(errors.Newf("unknown command %q for %q", args[0], cmd.CommandPath()), errUsage)
		}
		return
	}
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			return errors.Mark(check(cmd, args), errUsage)
		}
	}
}

// allFlags returns the flags of a command and of those below it.
func allFlags(cmd *cobra.Command) []*pflag.FlagSet {
	sets := []*pflag.FlagSet{cmd.Flags(), cmd.PersistentFlags()}
	for _, c := range cmd.Commands() {
		sets = append(sets, allFlags(c)...)
	}
	return sets
}

func document(cmd *cobra.Command) {
	settings.AddEnvToUsage(cmd.Flags())
	settings.AddEnvToUsage(cmd.PersistentFlags())
	for _, c := range cmd.Commands() {
		document(c)
	}
}

func exitCode(err error) int {
	var findings config.Findings
	var api *operator.APIError
	switch {
	case errors.IsAny(err, errUsage, server.ErrSettings):
		return exitUsage
	case errors.As(err, &findings), errors.Is(err, errInvalid):
		return exitInvalid
	case errors.Is(err, operator.ErrNotSent), errors.Is(err, errUnreachable):
		return exitUnavailable
	case errors.Is(err, operator.ErrNoAnswer):
		return exitUnknown
	case errors.As(err, &api):
		return apiExitCode(api.Response.Code)
	}
	return exitFailure
}

func apiExitCode(code string) int {
	switch code {
	case "conflict":
		return exitConflict
	case "refused":
		return exitInvalid
	case "store-unavailable", "no-writer":
		return exitUnavailable
	case "unknown-outcome":
		return exitUnknown
	}
	return exitFailure
}

// signals returns a context that ends at the first SIGTERM or interrupt, and
// one that ends at the second.
func signals(parent context.Context) (stop, kill context.Context) {
	stop, cancelStop := context.WithCancel(parent)
	kill, cancelKill := context.WithCancel(parent)
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancelStop()
		<-received
		cancelKill()
	}()
	return stop, kill
}
