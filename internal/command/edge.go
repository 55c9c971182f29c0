package command

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/edge"
	store "github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/platform"
)

// settingsPollInterval is the time between two checks whether the settings file has
// changed, which may happen without a signal.
const settingsPollInterval = 2 * time.Second

// newEdge returns the command that runs an instance on a platform whose store
// keeps the configuration and the targets' registrations.
func newEdge() *cobra.Command {
	var file, metricsPort, logLevel string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run one instance on a platform that keeps configuration and targets in its store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			readSettings := func() (edge.Settings, error) {
				s, err := platform.ReadSettings(file)
				s.LogLevel = logLevel
				if metricsPort != "" {
					s.MetricsListen = metricsAddress(s.Listen, metricsPort)
				}
				return s, err
			}
			s, err := readSettings()
			if err != nil {
				return errors.Mark(err, errUsage)
			}
			if checkOnly {
				return nil
			}
			runtime.GOMAXPROCS(1) // the platform runs one thread of an instance at a time
			stop, kill := signals(cmd.Context())
			reload := make(chan edge.Settings)
			go watchSettings(stop, file, readSettings, reload)
			return edge.Provision(s, platform.Adapter{}, platform.NewStore(s.StoreAddress, s.WatchWait(), store.NewReadLimits(s.MemoryBytes)), os.Stdout).Run(stop, kill, reload)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "node-file", "", "path of the platform's settings file")
	flags.StringVar(&metricsPort, "metrics-port", "", "port of the metrics, on the callers' address; none if empty")
	flags.StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	flags.BoolVar(&checkOnly, "check", false, "check the settings and end")
	return cmd
}

// metricsAddress returns the IP:port of the metrics: the given port on the IP of the
// callers' address. It ignores a callers' address that cannot be split, because
// checking the settings reports that.
func metricsAddress(listen, port string) string {
	host, _, _ := net.SplitHostPort(listen)
	return net.JoinHostPort(host, port)
}

// watchSettings reads the settings at SIGHUP and when their file has changed, and
// sends them on reload, until the context ends. If they cannot be read or are not
// valid, it writes the error to standard error and sends nothing, so that the
// process goes on with the settings it has.
func watchSettings(ctx context.Context, file string, readSettings func() (edge.Settings, error), reload chan<- edge.Settings) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modifiedAt := modificationTime(file); modifiedAt.Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(file)
		s, err := readSettings()
		if err != nil {
			_, _ = os.Stderr.WriteString("turmericfield: " + err.Error() + "; the old settings stay\n")
			continue
		}
		select {
		case reload <- s:
		case <-ctx.Done():
			return
		}
	}
}

// modificationTime returns the time of a file's last change, or the zero time if
// the file cannot be found.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
