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
// keeps the configuration and the targets' registrations. It also runs the targets.
func newStandinRegistry() *cobra.Command {
	var listen, file string
	var targetSpecs []string
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
			for _, spec := range targetSpecs {
				if err := startTarget(store, keys.TargetPrefix, spec); err != nil {
					return err
				}
			}
			listener, err := bindListener("listen", listen)
			if err != nil {
				return err
			}
			stop, _ := signals(cmd.Context())
			go func() { <-stop.Done(); _ = listener.Close() }()
			if err := store.Serve(listener); err != nil && stop.Err() == nil {
				return errors.Wrap(err, "serve")
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "", "IP:port of the store")
	flags.StringVar(&file, "configuration", "", "file with the accepted configuration, JSON as the operator writes it")
	flags.StringArrayVar(&targetSpecs, "target", nil, "a target as id,service,zone,IP:port; may be repeated")
	return cmd
}

// startTarget starts a target that is given as id,service,zone,IP:port, and puts
// its registration into the store, in the state ready.
func startTarget(store *standin.Store, keyPrefix, spec string) error {
	fields := strings.Split(spec, ",")
	if len(fields) != 4 {
		return errors.Mark(errors.Newf("--target: %q is not id,service,zone,IP:port", spec), errUsage)
	}
	listener, err := net.Listen("tcp4", fields[3])
	if err != nil {
		return errors.Wrapf(err, "target %s", fields[0])
	}
	target := standin.NewTarget(fields[0], listener)
	target.SetReply(standin.SignedReply(200, fmt.Sprintf("hello from %s\n", fields[0])))
	store.Put(keyPrefix+fields[0], target.Registration(fields[1], fields[2], "ready"))
	return nil
}
