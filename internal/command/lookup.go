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

// newLookup returns the command that asks an instance which instances a caller
// should send its requests to.
func newLookup() *cobra.Command {
	var instanceAddress, clientIP string
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "lookup",
		Short: "Ask an instance which instances a caller should use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkLookup(f, instanceAddress, clientIP); err != nil {
				return err
			}
			answer, err := lookup(cmd.Context(), instanceAddress, clientIP, f.ca)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), answer, func(w io.Writer) {
				for _, listed := range answer.Instances {
					fmt.Fprintf(w, "%s %s %s\n", listed.Address, listed.Name, listed.AvailabilityZone)
				}
			})
		},
	}
	cmd.Flags().StringVar(&instanceAddress, "instance", "", "IP:port of any instance")
	cmd.Flags().StringVar(&clientIP, "client", "", "IP address of the caller; the connection's own if empty")
	cmd.Flags().StringVar(&f.ca, "tls-ca", "", "CA of the instances' certificates: a PEM file or PEM text; plain HTTP if it is not set")
	f.registerOutput(cmd)
	return cmd
}

// checkLookup reports every fault of the flags.
func checkLookup(f clientFlags, instanceAddress, clientIP string) error {
	var p settings.Problems
	p.RequireAddress("instance", instanceAddress)
	if _, err := netip.ParseAddr(clientIP); clientIP != "" && err != nil {
		p.Add("client", "%q is not an IP address", clientIP)
	}
	f.checkOutput(&p)
	return errors.Mark(p.Err(), errUsage)
}

// lookup asks the instance at an IP:port for the instances of a client. An empty
// client IP means the address that the connection comes from.
func lookup(ctx context.Context, instanceAddress, clientIP, ca string) (entry.LookupResponse, error) {
	var answer entry.LookupResponse
	baseURL, instanceClient, err := httpClient(instanceAddress, ca)
	if err != nil {
		return answer, err
	}
	lookupURL := baseURL + entry.LookupPath + "?client=" + url.QueryEscape(clientIP)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, lookupURL, nil)
	if err != nil {
		return answer, err
	}
	response, err := instanceClient.Do(request)
	if err != nil {
		return answer, errors.Mark(errors.Wrap(err, "look-up"), errUnreachable)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Newf("look-up: %s answered %s", instanceAddress, response.Status)
	}
	return answer, errors.Wrap(json.NewDecoder(http.MaxBytesReader(nil, response.Body, entry.MaxJSONBytes)).Decode(&answer), "look-up answer")
}
