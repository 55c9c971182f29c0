package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/quota"
)

const (
	// reportTimeout bounds a report: several times the way between regions and
	// back, and less than the life of a level.
	reportTimeout = 400 * time.Millisecond
	// preferAgain is how long an instance stays with another hub before it tries
	// its first choice again; two hubs at a time each grant a part only.
	preferAgain = time.Second
	// failuresToMove is the number of failed reports in a row after which it goes
	// to the next one; one may be a lost packet, and levels outlive two.
	failuresToMove = 2
)

// hubServer keeps the fleet's quotas for other instances.
type hubServer struct {
	*Edge
	mu  sync.Mutex
	hub *quota.Hub
}

// fleetServer answers other instances.
type fleetServer struct {
	fleetpb.UnimplementedFleetServer
	*Edge
}

// Report implements fleetpb.FleetServer.
func (f fleetServer) Report(_ context.Context, r *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	report := quota.Report{Instance: r.GetInstance(), Started: r.GetStarted()}
	for _, u := range r.GetUsages() {
		report.Usages = append(report.Usages, quota.Usage{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted()})
	}
	levels := f.hub.handle(report)
	out := &fleetpb.ReportResponse{Share: levels.Share, Part: levels.Part, Levels: make([]*fleetpb.Level, len(levels.Levels))}
	for i, l := range levels.Levels {
		out.Levels[i] = &fleetpb.Level{Workspace: l.Workspace, Left: float32(l.Left)}
	}
	return out, nil
}

func (h *hubServer) handle(r quota.Report) quota.Levels {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hub.SetInstances(len(h.members.names()))
	if t := h.gateway.Table(); t != nil {
		h.hub.SetWorkspaces(t.Workspaces)
	}
	return h.hub.Handle(r, now())
}

// servePeers answers other instances until the context ends.
func (e *Edge) servePeers(ctx context.Context, l net.Listener) {
	server := grpc.NewServer(
		grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 2 * time.Second}))
	fleetpb.RegisterFleetServer(server, fleetServer{Edge: e})
	context.AfterFunc(ctx, server.Stop)
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		e.log.Error().Err(err).Msg("peers: stopped serving")
	}
}

// reporter tells a hub what this instance has admitted.
type reporter struct {
	*Edge
	choice   int // position of the hub among the live instances
	failures int // in a row
	since    time.Time
	peer     peerConn
	lost     bool
}

// report reports to the first live instance that answers, until the context
// ends.
func (e *Edge) report(ctx context.Context) {
	r := &reporter{Edge: e}
	defer r.peer.close()
	for ctx.Err() == nil {
		begin := time.Now()
		err := r.once(ctx)
		r.note(err)
		if err != nil {
			if r.failures++; r.failures%failuresToMove == 0 {
				r.choice++
			}
			r.since = begin
		} else if r.failures = 0; r.choice > 0 && time.Since(r.since) > preferAgain {
			r.choice, r.since = 0, begin
		}
		select {
		case <-ctx.Done():
		case <-time.After(quota.Interval - time.Since(begin)):
		}
	}
}

func (r *reporter) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.log.Warn().Err(err).Str("hub", r.peer.address).Msg("hub: lost")
	case err == nil && r.lost:
		r.lost = false
		r.log.Info().Str("hub", r.peer.address).Msg("hub: regained")
	}
}

// once sends one report.
func (r *reporter) once(ctx context.Context) error {
	sentAt := now()
	var report quota.Report
	r.gateway.Update(func(_ *affinity.Balancer, q *quota.Shares, _ time.Duration) { report = q.Report() })
	hub := r.members.hub(r.choice)
	if hub.Name == r.Name {
		levels := r.hub.handle(report)
		r.gateway.Update(func(_ *affinity.Balancer, q *quota.Shares, _ time.Duration) { q.SetLevels(report, levels, sentAt) })
		return nil
	}
	client, err := r.peer.client(hub.PeerAddress, reportTimeout)
	if err != nil {
		return err
	}
	request := &fleetpb.ReportRequest{Instance: report.Instance, Started: report.Started, Usages: make([]*fleetpb.Usage, len(report.Usages))}
	for i, u := range report.Usages {
		request.Usages[i] = &fleetpb.Usage{Workspace: u.Workspace, Admitted: u.Admitted}
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := client.Report(call, request)
	if err != nil {
		r.peer.close()
		return errors.Wrap(err, "report")
	}
	levels := quota.Levels{Share: answer.GetShare(), Part: answer.GetPart(), Levels: make([]quota.Level, len(answer.GetLevels()))}
	for i, l := range answer.GetLevels() {
		levels.Levels[i] = quota.Level{Workspace: l.GetWorkspace(), Left: float64(l.GetLeft())}
	}
	r.gateway.Update(func(_ *affinity.Balancer, q *quota.Shares, _ time.Duration) { q.SetLevels(report, levels, sentAt) })
	return nil
}
