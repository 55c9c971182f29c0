package command

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/buildversion"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// newVersion returns the command that prints the version of this program.
func newVersion() *cobra.Command {
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "version",
		Short: "Show the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var p settings.Problems
			f.checkOutput(&p)
			if err := p.Err(); err != nil {
				return errors.Mark(err, errUsage)
			}
			v := buildversion.Read()
			return f.print(cmd.OutOrStdout(), v, func(w io.Writer) {
				fmt.Fprintf(w, "turmericfield %s %s %s\n", v.Version, v.Revision, v.Go)
			})
		},
	}
	f.registerOutput(cmd)
	return cmd
}
