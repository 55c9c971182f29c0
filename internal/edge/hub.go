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
	// reportTimeout bounds a report call: several round trips between regions, and
	// less than the time for which quota levels are valid.
	reportTimeout = 400 * time.Millisecond
	// primaryHubRetry is how long an instance reports to a substitute hub before it
	// tries the first-ranked one again. While two hubs are in use, each grants only a
	// part of the quotas.
	primaryHubRetry = time.Second
	// failuresToSwitchHub is the number of consecutive failed reports after which an
	// instance reports to the next hub. A single failure may be a lost packet, and
	// levels stay valid for longer than two failed reports take.
	failuresToSwitchHub = 2
)

// hubServer is the quota server of an instance, in use where other instances report
// their quota usage to it: as the hub of the whole fleet, or, in a large fleet, as
// the aggregator of its availability zone.
type hubServer struct {
	*Edge
	mu         sync.Mutex
	hub        *quota.Hub
	aggregator *quota.Aggregator
}

// errNoLevels means that a zone's aggregator has no recent quota levels from the
// fleet's hub.
var errNoLevels = errors.New("the zone's aggregator has no recent quota levels from the hub")

// fleetServer implements the gRPC service that instances offer one another.
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

// handle gives a report to the zone's aggregator if zone is true, otherwise to the
// fleet's hub, and returns the resulting quota levels.
func (h *hubServer) handle(r quota.Report, zone bool) (quota.Levels, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.gateway.Table()
	if zone {
		if t != nil {
			h.aggregator.SetWorkspaces(t.Workspaces)
		}
		levels, ok := h.aggregator.Handle(r, now())
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

// zoneReport returns the zone's total usage for the fleet's hub. The second result is
// false if no instance reports to this one, unless isAggregator says that this instance
// is the zone's aggregator, so that reports are about to arrive.
func (h *hubServer) zoneReport(isAggregator bool) (quota.Report, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isAggregator && !h.aggregator.HasReporters(now()) {
		return quota.Report{}, false
	}
	return h.aggregator.Report(now()), true
}

// setZoneLevels stores the hub's response to a report of the zone, which was sent at
// a time since boot.
func (h *hubServer) setZoneLevels(r quota.Report, l quota.Levels, sentAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.aggregator.SetLevels(r, l, sentAt)
}

// servePeers serves other instances' gRPC calls until the context ends.
func (e *Edge) servePeers(ctx context.Context, l net.Listener) {
	server := grpc.NewServer(
		grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes), grpc.MaxRecvMsgSize(maxPeerRequestBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 2 * time.Second}))
	fleetpb.RegisterFleetServer(server, fleetServer{Edge: e})
	context.AfterFunc(ctx, server.Stop)
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		e.log.Error().Err(err).Msg("peers: stopped serving")
	}
}

// reporter sends quota usage to a hub or a zone's aggregator and switches to another
// instance when that one fails.
type reporter struct {
	*Edge
	logKey   string // log key of the instance that it reports to: "hub", or "sum" for an aggregator
	rank     int    // of the instance that it reports to; 0 is the preferred one
	failures int    // consecutive failed reports
	// holdStart is when the last report failed or rank 0 was last returned to. The
	// rank is kept for primaryHubRetry from then on.
	holdStart time.Time
	peer      peerConn
	lost      bool // the last report failed
}

// report reports quota usage every quota.ReportInterval until the context ends. In a
// small fleet, each instance reports to the hub: the first-ranked live instance that
// responds. In a large one, it reports to the aggregator, which is the first-ranked
// instance of its zone and reports the zone's total to the hub.
func (e *Edge) report(ctx context.Context) {
	hub, aggregator := &reporter{Edge: e, logKey: "hub"}, &reporter{Edge: e, logKey: "sum"}
	defer hub.peer.close()
	defer aggregator.peer.close()
	for ctx.Err() == nil {
		begin := time.Now()
		zoneAggregator, large := e.members.zoneAggregator(aggregator.rank)
		if large {
			if r, ok := e.hub.zoneReport(zoneAggregator.Name == e.Name); ok {
				hub.reportTo(ctx, e.members.hub(hub.rank), r, false, e.hub.setZoneLevels)
			}
			aggregator.reportTo(ctx, zoneAggregator, e.ownReport(), true, e.setLevels)
		} else {
			hub.reportTo(ctx, e.members.hub(hub.rank), e.ownReport(), false, e.setLevels)
		}
		select {
		case <-ctx.Done():
		case <-time.After(quota.ReportInterval - time.Since(begin)):
		}
	}
}

// ownReport returns the quota usage of this instance.
func (e *Edge) ownReport() (report quota.Report) {
	e.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, _ time.Duration) { report = q.Report() })
	return report
}

// setLevels stores the response to a report of this instance, which was sent at a
// time since boot.
func (e *Edge) setLevels(r quota.Report, l quota.Levels, sentAt time.Duration) {
	e.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, _ time.Duration) { q.SetLevels(r, l, sentAt) })
}

// reportTo sends a report to an instance and passes the response to onLevels. After
// failuresToSwitchHub consecutive failures the next rank is used, and primaryHubRetry
// later the first again.
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

// logOutcome logs when reports begin to fail and when they succeed again.
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

// send sends one report over gRPC, or hands it over directly if this instance is the
// receiver.
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
