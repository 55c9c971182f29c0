package command

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/settings"
)

// buildVersion tells which build this is.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source, if it was built in a checkout
	Modified bool   `json:"modified"`           // the checkout held changes that were not committed
	Go       string `json:"go"`
}

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
			v := readVersion()
			return f.print(cmd.OutOrStdout(), v, func(w io.Writer) {
				fmt.Fprintf(w, "turmericfield %s %s %s\n", v.Version, v.Revision, v.Go)
			})
		},
	}
	f.registerOutput(cmd)
	return cmd
}

func readVersion() buildVersion {
	v := buildVersion{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}
