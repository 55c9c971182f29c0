package command

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/platform"
	"github.com/turmericfield/turmericfield/platform/standin"
)

// newStandinRegistry returns the command that imitates a platform whose store
// keeps configuration and targets.
func newStandinRegistry() *cobra.Command {
	var listen, file string
	var targets []string
	cmd := &cobra.Command{
		Use:   "registry",
		Short: "Run a stand-in for a platform whose store keeps configuration and targets, for use with 'edge'",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return errors.Wrap(err, "configuration")
			}
			if _, err := (platform.Adapter{}).Configuration(text); err != nil {
				return errors.Mark(errors.Wrap(err, file), errUsage)
			}
			keys, store := platform.Adapter{}.StoreKeys(), standin.NewStore()
			store.Put(keys.Configuration, json.RawMessage(text))
			for _, t := range targets {
				if err := startTarget(store, keys.TargetPrefix, t); err != nil {
					return err
				}
			}
			l, err := bindListener("listen", listen)
			if err != nil {
				return err
			}
			stop, _ := signals(cmd.Context())
			go func() { <-stop.Done(); _ = l.Close() }()
			if err := store.Serve(l); err != nil && stop.Err() == nil {
				return errors.Wrap(err, "serve")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "", "IP:port of the store")
	f.StringVar(&file, "configuration", "", "file with the accepted configuration, JSON as the operator writes it")
	f.StringArrayVar(&targets, "target", nil, "a target as id,service,zone,IP:port; may be repeated")
	return cmd
}

func startTarget(store *standin.Store, prefix, text string) error {
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return errors.Mark(errors.Newf("--target: %q is not id,service,zone,IP:port", text), errUsage)
	}
	l, err := net.Listen("tcp4", parts[3])
	if err != nil {
		return errors.Wrapf(err, "target %s", parts[0])
	}
	t := standin.NewTarget(parts[0], l)
	t.SetReply(standin.SignedReply(200, fmt.Sprintf("hello from %s\n", parts[0])))
	store.Put(prefix+parts[0], t.Registration(parts[1], parts[2], "ready"))
	return nil
}
