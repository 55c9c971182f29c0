package command

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/demo"
)

// newDemo returns the command that runs a small system in this process.
func newDemo() *cobra.Command {
	var logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small whole system in this process and show what it does",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var logOutput io.Writer = io.Discard
			if logs {
				logOutput = os.Stderr
			}
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), logOutput)
		},
	}
	cmd.Flags().BoolVar(&logs, "logs", false, "write the instances' logs to standard error")
	return cmd
}
