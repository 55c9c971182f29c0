package command

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/internal/standin/target"
)

// newStandinTargets returns the command that imitates all targets of a
// configuration file, each on its configured address.
func newStandinTargets() *cobra.Command {
	var file string
	var serviceTime time.Duration
	var answerBytes int
	cmd := &cobra.Command{
		Use:   "targets",
		Short: "Run a stand-in for each target of a configuration, in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var p settings.Problems
			p.RequireNonEmpty("config", file)
			if err := p.Err(); err != nil {
				return errors.Mark(err, errUsage)
			}
			doc, err := readDocument(file)
			if err != nil {
				return err
			}
			stop, kill := signals(cmd.Context())
			var group errgroup.Group
			for _, service := range doc.Services {
				for _, configured := range service.Targets {
					listener, err := bindListener("config", configured.Address)
					if err != nil {
						return err
					}
					server := target.NewServer(target.New(target.Options{
						Name: configured.Name, Slots: service.Slots, ServiceTime: serviceTime, AnswerBytes: answerBytes,
					}))
					group.Go(func() error { return serveUntil(stop, kill, server, listener) })
				}
			}
			return group.Wait()
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "configuration file that names the targets")
	cmd.Flags().DurationVar(&serviceTime, "service-time", 5*time.Millisecond, "time that a request takes")
	cmd.Flags().IntVar(&answerBytes, "answer-bytes", 512, "bytes of an answer, unless a request asks for another size")
	return cmd
}
