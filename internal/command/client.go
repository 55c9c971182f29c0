package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
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
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.StringVar(&f.ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
}

func (f *clientFlags) client() (*operator.Client, error) {
	var p settings.Problems
	p.Address("operator", f.address)
	p.NonEmpty("operator-token", f.token)
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
				if c.Already {
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

func newValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file and report every finding",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid: %d services, %d routes, %d workspaces\n",
				args[0], len(doc.Services), len(doc.Routes), len(doc.Workspaces))
			return nil
		},
	}
}

func readDocument(file string) (*config.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return config.Parse(file, text)
}

func newLookup() *cobra.Command {
	var instance, client, ca string
	cmd := &cobra.Command{
		Use:   "lookup",
		Short: "Ask an instance which instances a caller should use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var p settings.Problems
			p.Address("instance", instance)
			if err := p.Err(); err != nil {
				return errors.Mark(err, errUsage)
			}
			answer, err := lookup(cmd.Context(), instance, client, ca)
			if err != nil {
				return err
			}
			for _, in := range answer.Instances {
				fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s\n", in.Address, in.Name, in.AvailabilityZone)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&instance, "instance", "", "IP:port of any instance")
	cmd.Flags().StringVar(&client, "client", "", "IP address of the caller; the connection's own if empty")
	cmd.Flags().StringVar(&ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
	return cmd
}

func lookup(ctx context.Context, instance, client, ca string) (entry.LookupResponse, error) {
	var answer entry.LookupResponse
	base, caller, err := httpClient(instance, ca)
	if err != nil {
		return answer, err
	}
	address := base + entry.LookupPath + "?client=" + url.QueryEscape(client)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return answer, err
	}
	response, err := caller.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "look-up")
	}
	defer response.Body.Close()
	return answer, errors.Wrap(json.NewDecoder(response.Body).Decode(&answer), "look-up answer")
}
