package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/settings"
)

func newLookup() *cobra.Command {
	var instance, client string
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "lookup",
		Short: "Ask an instance which instances a caller should use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkLookup(f, instance, client); err != nil {
				return err
			}
			answer, err := lookup(cmd.Context(), instance, client, f.ca)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
				for _, in := range answer.Instances {
					fmt.Fprintf(w, "%s %s %s\n", in.Address, in.Name, in.AvailabilityZone)
				}
			})
		},
	}
	cmd.Flags().StringVar(&instance, "instance", "", "IP:port of any instance")
	cmd.Flags().StringVar(&client, "client", "", "IP address of the caller; the connection's own if empty")
	cmd.Flags().StringVar(&f.ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
	f.registerOutput(cmd)
	return cmd
}

func checkLookup(f clientFlags, instance, client string) error {
	var p settings.Problems
	p.RequireAddress("instance", instance)
	if _, err := netip.ParseAddr(client); client != "" && err != nil {
		p.Add("client", "%q is not an IP address", client)
	}
	f.checkOutput(&p)
	return errors.Mark(p.Err(), errUsage)
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
		return answer, errors.Mark(errors.Wrap(err, "look-up"), errUnreachable)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Newf("look-up: %s answered %s", instance, response.Status)
	}
	return answer, errors.Wrap(json.NewDecoder(response.Body).Decode(&answer), "look-up answer")
}
