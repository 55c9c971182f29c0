package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/entry"
	"github.com/turmericfield/turmericfield/internal/intent"
)

// requestsPerStep is how many requests a step sends to show where they are served.
const requestsPerStep = 40

// runSteps runs the demo's steps, one after the other.
func (d *demo) runSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.configure, d.awaitTokens, d.serveRequests, d.drainZone, d.withdrawKey,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// configure confirms the first configuration, as soon as the operators' API answers.
func (d *demo) configure(ctx context.Context) error {
	if err := d.waitUntil(ctx, "the operators' API answers", func() bool {
		_, err := d.api.Status(ctx)
		return err == nil
	}); err != nil {
		return err
	}
	return d.confirm(ctx, intent.Intent{Kind: intent.KindApply, Document: d.document()})
}

// document returns the demo's configuration: one service with a target in each of two
// regions, one route and one workspace.
func (d *demo) document() *config.Document {
	return &config.Document{
		Regions: []config.Region{{Name: "sierra", LinkMbps: 4000}, {Name: "costa", LinkMbps: 4000}},
		AvailabilityZones: []config.AvailabilityZone{
			{Name: "sierra-1", Region: "sierra", Instances: 2}, {Name: "costa-1", Region: "costa"},
		},
		Services: []config.Service{{Name: "listings", Slots: slotsPerTarget, MaxConnections: 400, Targets: []config.Target{
			{Name: "listings-1", AvailabilityZone: "sierra-1", Address: d.address("21", callerPort)},
			{Name: "listings-2", AvailabilityZone: "costa-1", Address: d.address("22", callerPort)},
		}}},
		Routes: []config.Route{{
			Name: "listings-read", Service: "listings", PathPrefix: "/listings/", Methods: []string{http.MethodGet},
			Repeatable: true, Class: config.ClassInteractive, TimeoutMillis: 2000,
		}},
		Workspaces: []config.Workspace{{
			Name: "quito", Rate: 500, Burst: 200, Routes: []string{"listings-read"},
			Keys: []config.Key{{ID: keyID, SHA256: config.HashSecret(keySecret)}},
		}},
	}
}

// awaitTokens waits until every instance admits requests of the workspace. After the
// first configuration that takes a while: instances need a seat, which is their part
// of the workspace's rate, and they start with no tokens of it.
func (d *demo) awaitTokens(ctx context.Context) error {
	for _, f := range fleet {
		if err := d.waitUntil(ctx, f.name+" has tokens", func() bool {
			status, _, err := d.request(ctx, d.address(f.hostNumber, callerPort))
			return err == nil && status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

// serveRequests sends requests of callers with different addresses, each to the
// instance that a look-up recommends. All must be answered.
func (d *demo) serveRequests(ctx context.Context) error {
	servedBy := map[string]int{}
	for i := range requestsPerStep {
		instance, err := d.lookup(ctx, fmt.Sprintf("10.0.%d.1", i))
		if err != nil {
			return err
		}
		status, body, err := d.request(ctx, instance)
		if err != nil || status != http.StatusOK {
			return errors.Newf("request through %s: status %d, %v, %s", instance, status, err, body)
		}
		servedBy[instance]++
	}
	d.printf("served %d of %d requests through %d instances", requestsPerStep, requestsPerStep, len(servedBy))
	return nil
}

// drainZone drains the availability zone sierra-1, sends requests to one of its
// instances, all of which the target in costa-1 must answer, and ends the drain.
func (d *demo) drainZone(ctx context.Context) error {
	drain := config.Drain{Kind: config.DrainAvailabilityZone, Name: "sierra-1"}
	if err := d.confirm(ctx, intent.Intent{Kind: intent.KindDrain, Drain: &drain}); err != nil {
		return err
	}
	for range requestsPerStep {
		if err := d.servedByCosta(ctx); err != nil {
			return err
		}
	}
	d.printf("drained sierra-1: %d of %d requests were served by costa-1", requestsPerStep, requestsPerStep)
	return d.confirm(ctx, intent.Intent{Kind: intent.KindUndrain, Drain: &drain})
}

// servedByCosta sends a request to an instance in sierra-1 until the target in costa-1
// has answered. The request may be refused until the instance has borrowed slots of
// that target from the other availability zone. The drained target must answer none.
func (d *demo) servedByCosta(ctx context.Context) error {
	var drainErr error
	err := d.waitUntil(ctx, "costa-1 serves sierra-1's callers", func() bool {
		status, body, err := d.request(ctx, d.address("11", callerPort))
		if err != nil || strings.Contains(body, "listings-1") {
			drainErr = errors.Newf("a drained target still answers: %v, %s", err, body)
		}
		return drainErr != nil || status == http.StatusOK && strings.Contains(body, "listings-2")
	})
	return errors.CombineErrors(drainErr, err)
}

// withdrawKey withdraws the workspace's key, which every instance must then refuse.
func (d *demo) withdrawKey(ctx context.Context) error {
	if err := d.confirm(ctx, intent.Intent{Kind: intent.KindWithdrawKey, KeyID: keyID}); err != nil {
		return err
	}
	for _, f := range fleet {
		status, body, err := d.request(ctx, d.address(f.hostNumber, callerPort))
		if err != nil || status != http.StatusUnauthorized {
			return errors.Newf("%s accepted a withdrawn key: status %d, %v", f.name, status, err)
		}
		d.printf("%s refuses the withdrawn key: %s", f.name, strings.TrimSpace(body))
	}
	return nil
}

// confirm plans an intent, prints the plan, confirms it and waits until all instances
// use the new version of the configuration.
func (d *demo) confirm(ctx context.Context, in intent.Intent) error {
	plan, err := d.api.Plan(ctx, in)
	if err != nil {
		return err
	}
	for _, line := range plan.Changes {
		d.printf("plan %s: %s", plan.ID, line)
	}
	confirmation, err := d.api.Confirm(ctx, plan.ID)
	if err != nil {
		return err
	}
	err = d.waitUntil(ctx, "the configuration is in force everywhere", func() bool {
		status, err := d.api.Status(ctx)
		return err == nil && status.InForce && status.AcceptedVersion == confirmation.Version && len(status.Instances) == len(fleet)
	})
	if err == nil {
		d.printf("confirmed: version %d is in force on all instances", confirmation.Version)
	}
	return err
}

// lookup asks an instance which instances the caller at an IP should use, and returns
// the address of the first.
func (d *demo) lookup(ctx context.Context, callerIP string) (string, error) {
	lookupURL := "http://" + d.address("11", callerPort) + entry.LookupPath + "?client=" + callerIP
	body, _, err := d.get(ctx, lookupURL, "")
	if err != nil {
		return "", err
	}
	var answer entry.LookupResponse
	if err := json.Unmarshal([]byte(body), &answer); err != nil || len(answer.Instances) == 0 {
		return "", errors.Newf("look-up answered %q, %v", body, err)
	}
	return answer.Instances[0].Address, nil
}

// request sends a caller's request to the instance at an IP:port.
func (d *demo) request(ctx context.Context, instance string) (status int, body string, err error) {
	body, status, err = d.get(ctx, "http://"+instance+"/listings/guinea-pigs", keyID+"."+keySecret)
	return status, body, err
}

// get sends a GET request with a workspace's key, and reads the whole answer.
func (d *demo) get(ctx context.Context, requestURL, key string) (body string, status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return "", 0, err
	}
	request.Header.Set(entry.KeyHeader, key)
	response, err := d.client.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), response.StatusCode, err
}

// waitUntil polls a condition until it holds. After stepTimeout it returns an error
// with the condition's description.
func (d *demo) waitUntil(ctx context.Context, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Newf("%s: did not happen within %s", description, stepTimeout)
		}
	}
	return nil
}
