package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/operator"
	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

const clientTimeout = 20 * time.Second

// clientFlags are the flags of every command that calls the operators' API.
type clientFlags struct {
	address string
	token   string
	output  string
	ca      string
}

func (f *clientFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.address, "operator", "", "IP:port of an instance's operators' API")
	flags.StringVar(&f.token, "operator-token", "", "credential of the operators' API")
	f.registerOutput(cmd)
	flags.StringVar(&f.ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
}

func (f *clientFlags) registerOutput(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&f.output, "output", "text", "text or json")
}

func (f *clientFlags) client() (*operator.Client, error) {
	var p settings.Problems
	p.RequireAddress("operator", f.address)
	p.RequireNonEmpty("operator-token", f.token)
	f.checkOutput(&p)
	if err := p.Err(); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	base, client, err := httpClient(f.address, f.ca)
	if err != nil {
		return nil, err
	}
	return &operator.Client{BaseURL: base, Token: f.token, HTTP: client}, nil
}

func (f *clientFlags) checkOutput(p *settings.Problems) {
	if f.output != "text" && f.output != "json" {
		p.Add("output", "%q is not text or json", f.output)
	}
}

// httpClient returns the base URL of an address and a client for it: HTTPS if a
// CA is set.
func httpClient(address, ca string) (string, *http.Client, error) {
	config, err := tlsconfig.Client(ca)
	if err != nil {
		return "", nil, errors.Mark(errors.Wrap(err, "--tls-ca"), errUsage)
	}
	client := &http.Client{Timeout: clientTimeout}
	if config == nil {
		return "http://" + address, client, nil
	}
	client.Transport = &http.Transport{TLSClientConfig: config}
	return "https://" + address, client, nil
}

// print writes a value as JSON, or as text through the given function.
func (f *clientFlags) print(w io.Writer, value any, text func(io.Writer)) error {
	if f.output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(w)
	return nil
}

func newConfirm() *cobra.Command {
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Confirm a plan, which puts it in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			c, err := client.Confirm(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), c, func(w io.Writer) {
				word := "accepted"
				if c.AlreadyConfirmed {
					word = "was accepted before"
				}
				fmt.Fprintf(w, "plan %s %s as version %d\n", c.PlanID, word, c.Version)
			})
		},
	}
	f.register(cmd)
	return cmd
}

func newStatus() *cobra.Command {
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which configuration is accepted and where it is in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			status, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status) })
		},
	}
	f.register(cmd)
	return cmd
}

func printStatus(w io.Writer, s operator.Status) {
	if s.StoreReachable {
		fmt.Fprintf(w, "accepted version %d, in force everywhere: %t\n", s.AcceptedVersion, s.InForce)
	} else {
		fmt.Fprintln(w, "accepted version not known: the store cannot be reached")
	}
	for _, in := range s.Instances {
		if !in.Reachable {
			fmt.Fprintf(w, "instance %s in %s: cannot be reached\n", in.Name, in.AvailabilityZone)
			continue
		}
		fmt.Fprintf(w, "instance %s in %s: version %d, %d in flight\n", in.Name, in.AvailabilityZone, in.Version, in.InFlight)
	}
}
