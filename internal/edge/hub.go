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
	primaryHubRetry = time.Second
	// failuresToMove is the number of failed reports in a row after which it goes
	// to the next one; one may be a lost packet, and levels outlive two.
	failuresToSwitchHub = 2
)

// hubServer keeps the fleet's quotas for other instances, and in a large fleet the
// sum of its zone.
type hubServer struct {
	*Edge
	mu      sync.Mutex
	hub     *quota.Hub
	zoneSum *quota.Aggregator
}

// errNoLevels means that the sum of a zone has not heard from the hub lately.
var errNoLevels = errors.New("the zone's sum has no levels")

// fleetServer answers other instances.
type fleetServer struct {
	fleetpb.UnimplementedFleetServer
	*Edge
}

// Report implements fleetpb.FleetServer.
func (f fleetServer) Report(_ context.Context, r *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	report := quota.Report{Instance: r.GetInstance(), Started: r.GetStarted(), Members: int(r.GetMembers())}
	for _, u := range r.GetUsages() {
		report.Usages = append(report.Usages, quota.Usage{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted()})
	}
	levels, err := f.hub.handle(report, r.GetZone())
	if err != nil {
		return nil, err
	}
	out := &fleetpb.ReportResponse{
		Share: levels.Share, Part: levels.Part, AgeNs: int64(levels.Age), Levels: make([]*fleetpb.Level, len(levels.Levels)),
	}
	for i, l := range levels.Levels {
		out.Levels[i] = &fleetpb.Level{Workspace: l.Workspace, Left: float32(l.Left)}
	}
	return out, nil
}

// handle takes a report to the zone's sum, or to the hub of the fleet.
func (h *hubServer) handle(r quota.Report, zone bool) (quota.Levels, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.gateway.Table()
	if zone {
		if t != nil {
			h.zoneSum.SetWorkspaces(t.Workspaces)
		}
		levels, ok := h.zoneSum.Handle(r, now())
		if !ok {
			return levels, errNoLevels
		}
		return levels, nil
	}
	h.hub.SetInstances(len(h.members.names()))
	if t != nil {
		h.hub.SetWorkspaces(t.Workspaces)
	}
	return h.hub.Handle(r, now()), nil
}

// sumReport returns what the zone's sum has to report, if instances report to it or
// are about to.
func (h *hubServer) zoneReport(first bool) (quota.Report, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !first && !h.zoneSum.HasReporters(now()) {
		return quota.Report{}, false
	}
	return h.zoneSum.Report(now()), true
}

func (h *hubServer) setZoneLevels(r quota.Report, l quota.Levels, sentAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneSum.SetLevels(r, l, sentAt)
}

// servePeers answers other instances until the context ends.
func (e *Edge) servePeers(ctx context.Context, l net.Listener) {
	server := grpc.NewServer(
		grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 2 * time.Second}))
	fleetpb.RegisterFleetServer(server, fleetServer{Edge: e})
	context.AfterFunc(ctx, server.Stop)
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		e.log.Error().Err(err).Msg("peers: stopped serving")
	}
}

// reporter tells a hub what is admitted here.
type reporter struct {
	*Edge
	logKey    string // of the hub in logs
	rank      int    // position of the hub among those that may be it
	failures  int    // in a row
	holdStart time.Time
	peer      peerConn
	lost      bool
}

// report reports until the context ends: in a small fleet to the first live instance
// that answers, in a large one to the first of the zone, which reports the zone's sum
// to the first of the fleet.
func (e *Edge) report(ctx context.Context) {
	hub, zoneSum := &reporter{Edge: e, logKey: "hub"}, &reporter{Edge: e, logKey: "sum"}
	defer hub.peer.close()
	defer zoneSum.peer.close()
	for ctx.Err() == nil {
		begin := time.Now()
		zoneHub, large := e.members.zoneHub(zoneSum.rank)
		if large {
			if r, ok := e.hub.zoneReport(zoneHub.Name == e.Name); ok {
				hub.reportTo(ctx, e.members.hub(hub.rank), r, false, e.hub.setZoneLevels)
			}
			zoneSum.reportTo(ctx, zoneHub, e.ownReport(), true, e.setLevels)
		} else {
			hub.reportTo(ctx, e.members.hub(hub.rank), e.ownReport(), false, e.setLevels)
		}
		select {
		case <-ctx.Done():
		case <-time.After(quota.ReportInterval - time.Since(begin)):
		}
	}
}

func (e *Edge) ownReport() (report quota.Report) {
	e.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, _ time.Duration) { report = q.Report() })
	return report
}

func (e *Edge) setLevels(r quota.Report, l quota.Levels, sentAt time.Duration) {
	e.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, _ time.Duration) { q.SetLevels(r, l, sentAt) })
}

// try sends a report to an instance and notes whether it answered. After some
// failures in a row another one is chosen for a while.
func (r *reporter) reportTo(ctx context.Context, to member, report quota.Report, zone bool, onLevels func(quota.Report, quota.Levels, time.Duration)) {
	begin, sentAt := time.Now(), now()
	levels, err := r.send(ctx, to, report, zone)
	r.logOutcome(to, err)
	switch {
	case err != nil:
		if r.failures++; r.failures%failuresToSwitchHub == 0 {
			r.rank++
		}
		r.holdStart = begin
		return
	case r.rank > 0 && time.Since(r.holdStart) > primaryHubRetry:
		r.rank, r.holdStart = 0, begin
	}
	r.failures = 0
	onLevels(report, levels, sentAt)
}

func (r *reporter) logOutcome(to member, err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.log.Warn().Err(err).Str(r.logKey, to.Name).Msg("hub: lost")
	case err == nil && r.lost:
		r.lost = false
		r.log.Info().Str(r.logKey, to.Name).Msg("hub: regained")
	}
}

// send sends one report.
func (r *reporter) send(ctx context.Context, to member, report quota.Report, zone bool) (quota.Levels, error) {
	if to.Name == r.Name {
		return r.hub.handle(report, zone)
	}
	client, err := r.peer.client(to.PeerAddress, reportTimeout)
	if err != nil {
		return quota.Levels{}, err
	}
	request := &fleetpb.ReportRequest{
		Instance: report.Instance, Started: report.Started, Members: uint32(report.Members), Zone: zone,
		Usages: make([]*fleetpb.Usage, len(report.Usages)),
	}
	for i, u := range report.Usages {
		request.Usages[i] = &fleetpb.Usage{Workspace: u.Workspace, Admitted: u.Admitted}
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := client.Report(call, request)
	if err != nil {
		r.peer.close()
		return quota.Levels{}, errors.Wrap(err, "report")
	}
	levels := quota.Levels{
		Share: response.GetShare(), Part: response.GetPart(), Age: time.Duration(response.GetAgeNs()), Levels: make([]quota.Level, len(response.GetLevels())),
	}
	for i, l := range response.GetLevels() {
		levels.Levels[i] = quota.Level{Workspace: l.GetWorkspace(), Left: float64(l.GetLeft())}
	}
	return levels, nil
}
