// Package command defines the command line of turmericfield: the commands, their
// flags and the exit codes.
package command

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/logging"
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

// exitCodesHelp is the long help text of the root command: what the program is, and
// the meaning of its exit codes.
const exitCodesHelp = `Global traffic steering system

Exit codes:
  0  success
  1  a failure that has no code of its own
  2  unknown command or flag, or a malformed setting
  3  a configuration or intent has findings, or the plan is refused
  4  the plan is stale: another change came first; make a new plan
  5  the system, its store or a writer cannot be reached; nothing was changed
  6  there was no answer: the change may have taken effect; confirm the same
     plan again, which never applies it twice

"config check" has its own: 0 nothing or only differences, 1 warnings, 2 errors, bad
usage or no check`

// errUsage marks errors in the command line or in settings. Their exit code is
// exitUsage.
var errUsage = errors.New("usage")

// errUnreachable marks the error of a read that got no answer. Its exit code is
// exitUnavailable.
var errUnreachable = errors.New("cannot be reached")

// errInvalid marks the error of a refused plan. Its exit code is exitInvalid.
var errInvalid = errors.New("plan is refused")

// Main runs the command line of this process and returns its exit code.
func Main() int {
	log.SetOutput(logging.OmitQuoted(os.Stderr))
	root := newRoot()
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "turmericfield: %v\n", err)
	return exitCode(err)
}

// newRoot returns the root command with all commands below it. A flag that is not
// given on the command line takes its value from its environment variable.
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
		newValidate(), newConfig(), newEdge(), newExplain(), newLoad(), newDemo(), newVersion(), newExperiment())
	documentEnvironment(root)
	markUsageErrors(root)
	knownVariables := settings.EnvNames(allFlags(root)...)
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		return errors.Mark(settings.ReadEnvironment(cmd.Flags(), knownVariables), errUsage)
	}
	return root
}

// markUsageErrors makes a command and those below it mark the errors of wrong
// arguments with errUsage. A command that only groups others prints its help if it
// is called without arguments, and reports an unknown command otherwise.
func markUsageErrors(cmd *cobra.Command) {
	for _, subcommand := range cmd.Commands() {
		markUsageErrors(subcommand)
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
	if checkArgs := cmd.Args; checkArgs != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			return errors.Mark(checkArgs(cmd, args), errUsage)
		}
	}
}

// allFlags returns the sets of flags of a command and of those below it.
func allFlags(cmd *cobra.Command) []*pflag.FlagSet {
	sets := []*pflag.FlagSet{cmd.Flags(), cmd.PersistentFlags()}
	for _, subcommand := range cmd.Commands() {
		sets = append(sets, allFlags(subcommand)...)
	}
	return sets
}

// documentEnvironment adds the environment variable of each flag to the help of a
// command and of those below it.
func documentEnvironment(cmd *cobra.Command) {
	settings.AddEnvToUsage(cmd.Flags())
	settings.AddEnvToUsage(cmd.PersistentFlags())
	for _, subcommand := range cmd.Commands() {
		documentEnvironment(subcommand)
	}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var findings config.Findings
	var apiErr *operator.APIError
	var checkErr *checkError
	switch {
	case errors.As(err, &checkErr):
		return checkErr.code
	case errors.IsAny(err, errUsage, server.ErrSettings):
		return exitUsage
	case errors.As(err, &findings), errors.Is(err, errInvalid):
		return exitInvalid
	case errors.Is(err, operator.ErrNotSent), errors.Is(err, errUnreachable):
		return exitUnavailable
	case errors.Is(err, operator.ErrNoAnswer):
		return exitUnknown
	case errors.As(err, &apiErr):
		return apiExitCode(apiErr.Response.Code)
	}
	return exitFailure
}

// apiExitCode returns the exit code for an error code of the operators' API.
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

// signals returns two contexts for shutting down: stop ends at the first SIGTERM or
// SIGINT and asks for a graceful shutdown, kill ends at the second and asks for an
// immediate one.
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
