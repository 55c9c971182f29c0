package command

import (
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/explain"
)

// newExplain returns the command that finds in instances' logs why a request was
// answered, refused or failed.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Tell what decided a request, from instances' logs on standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return explain.Request(cmd.InOrStdin(), args[0], cmd.OutOrStdout())
		},
	}
}
