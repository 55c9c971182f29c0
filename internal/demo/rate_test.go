package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/turmericfield/turmericfield/internal/intent"
	"github.com/turmericfield/turmericfield/internal/operator"
)

// TestRateHoldsOverInstances guards against instances that together admit more than a
// workspace's rate. It sends far more requests than that through three instances at
// once, over real sockets. The measured time covers all admissions, so that a slow
// machine does not make the test fail.
func TestRateHoldsOverInstances(t *testing.T) {
	const rate, burst, period = 40, 10, 2 * time.Second
	networkPrefix, reservation, err := freeNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reservation.Close() }()
	client := &http.Client{Timeout: callTimeout}
	d := &demo{out: io.Discard, networkPrefix: networkPrefix, client: client}
	d.api = &operator.Client{BaseURL: fmt.Sprintf("http://%s.11:%d", networkPrefix, operatorPort), Token: operatorToken, HTTP: client}
	stop, shutDown := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(t.Context())
	if err := d.start(ctx, stop, group, io.Discard); err != nil {
		t.Fatal(err)
	}
	if err := d.waitUntil(ctx, "the operators' API answers", func() bool { _, err := d.api.Status(ctx); return err == nil }); err != nil {
		t.Fatal(err)
	}
	document := d.document()
	document.Workspaces[0].Rate, document.Workspaces[0].Burst = rate, burst
	if err := d.confirm(ctx, intent.Intent{Kind: intent.KindApply, Document: document}); err != nil {
		t.Fatal(err)
	}
	if err := d.awaitTokens(ctx); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	admitted := d.sendUntil(ctx, start.Add(period))
	elapsed := time.Since(start)
	total := 0
	for host, n := range admitted {
		if n == 0 {
			t.Errorf("instance %s admitted nothing", host)
		}
		total += n
	}
	if limit := rate*elapsed.Seconds() + burst; float64(total) > limit {
		t.Errorf("%d requests admitted in %s, want at most %g", total, elapsed, limit)
	}
	t.Logf("admitted %d in %s: %v", total, elapsed, admitted)
	shutDown()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// sendUntil sends requests through all instances, four at a time through each, until
// the given time. It returns how many each admitted, by the last number of its IP.
func (d *demo) sendUntil(ctx context.Context, until time.Time) map[string]int {
	var mu sync.Mutex
	admitted := map[string]int{}
	var wait sync.WaitGroup
	for _, f := range fleet {
		admitted[f.hostNumber] = 0
		for range 4 {
			wait.Go(func() {
				for time.Now().Before(until) {
					status, _, err := d.request(ctx, d.address(f.hostNumber, callerPort))
					if err == nil && status == http.StatusOK {
						mu.Lock()
						admitted[f.hostNumber]++
						mu.Unlock()
					}
				}
			})
		}
	}
	wait.Wait()
	return admitted
}
