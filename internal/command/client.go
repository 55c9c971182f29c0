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
	"github.com/turmericfield/turmericfield/internal/responsehead"
	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/internal/tlsconfig"
)

// clientTimeout bounds one HTTP request to an instance, with its answer.
const clientTimeout = 20 * time.Second

// clientFlags are the flags of the commands that call the operators' API. Other
// commands use some of them.
type clientFlags struct {
	address string // IP:port of the operators' API
	token   string // credential of the operators' API
	output  string // "text" or "json"
	ca      string // CA of the instances: path of a PEM file, or PEM text; empty for plain HTTP
}

// register adds all the flags to the command and those below it.
func (f *clientFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.address, "operator", "", "IP:port of an instance's operators' API")
	flags.StringVar(&f.token, "operator-token", "", "credential of the operators' API")
	f.registerOutput(cmd)
	flags.StringVar(&f.ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
}

// registerOutput adds only the flag that sets the output's format.
func (f *clientFlags) registerOutput(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&f.output, "output", "text", "text or json")
}

// client checks the flags and returns a client of the operators' API.
func (f *clientFlags) client() (*operator.Client, error) {
	var p settings.Problems
	p.RequireAddress("operator", f.address)
	p.RequireNonEmpty("operator-token", f.token)
	f.checkOutput(&p)
	if err := p.Err(); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	baseURL, client, err := httpClient(f.address, f.ca)
	if err != nil {
		return nil, err
	}
	return &operator.Client{BaseURL: baseURL, Token: f.token, HTTP: client}, nil
}

// checkOutput reports an output format that does not exist.
func (f *clientFlags) checkOutput(p *settings.Problems) {
	if f.output != "text" && f.output != "json" {
		p.Add("output", "%q is not text or json", f.output)
	}
}

// httpClient returns the base URL of an IP:port and an HTTP client for it. They
// use HTTPS if a CA is given, and plain HTTP otherwise.
func httpClient(address, ca string) (string, *http.Client, error) {
	tlsConfig, err := tlsconfig.Client(ca)
	if err != nil {
		return "", nil, errors.Mark(errors.Wrap(err, "--tls-ca"), errUsage)
	}
	if tlsConfig == nil {
		return "http://" + address, newHTTPClient(http.DefaultTransport), nil
	}
	return "https://" + address, newHTTPClient(&http.Transport{TLSClientConfig: tlsConfig}), nil
}

func newHTTPClient(base http.RoundTripper) *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: responsehead.Transport{Base: base}}
}

// print writes a value in the output's format: as JSON, or by calling the function
// text.
func (f *clientFlags) print(w io.Writer, value any, text func(io.Writer)) error {
	if f.output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(w)
	return nil
}

// newConfirm returns the command that confirms a plan, so that it becomes the
// accepted configuration.
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
			confirmation, err := client.Confirm(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), confirmation, func(w io.Writer) {
				outcome := "accepted"
				if confirmation.AlreadyConfirmed {
					outcome = "was accepted before"
				}
				fmt.Fprintf(w, "plan %s %s as version %d\n", confirmation.PlanID, outcome, confirmation.Version)
			})
		},
	}
	f.register(cmd)
	return cmd
}

// newStatus returns the command that shows which configuration is accepted and
// which version each instance uses.
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

// printStatus writes the status as text: a line for the system and one for each
// instance.
func printStatus(w io.Writer, status operator.Status) {
	if status.StoreReachable {
		fmt.Fprintf(w, "accepted version %d, in force everywhere: %t\n", status.AcceptedVersion, status.InForce)
	} else {
		fmt.Fprintln(w, "accepted version not known: the store cannot be reached")
	}
	for _, instance := range status.Instances {
		if !instance.Reachable {
			fmt.Fprintf(w, "instance %s in %s: cannot be reached\n", instance.Name, instance.AvailabilityZone)
			continue
		}
		fmt.Fprintf(w, "instance %s in %s: version %d, %d in flight\n", instance.Name, instance.AvailabilityZone, instance.Version, instance.InFlight)
	}
}
