package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/quota"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

const (
	// reportTimeout bounds a report call: several round trips between regions, and
	// less than the time for which quota levels are valid.
	reportTimeout = 400 * time.Millisecond
	// maxFailovers is the number of receivers to which a report is sent one after another
	// while their machines refuse connections.
	maxFailovers = 4
	// maxRoundsWithoutLevels is the number of reports in a row to which an aggregator has
	// responded without levels, after which its zone reports to another one. The loss of
	// a hub takes two.
	maxRoundsWithoutLevels = 4
	// minReportInterval is the time between the begins of two reports if requests wait for
	// levels.
	minReportInterval = 50 * time.Millisecond
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
var errNoLevels = status.Error(codes.FailedPrecondition, "the zone's aggregator has no recent quota levels from the hub")

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
		grpc.StatsHandler(followerConns{e.follower}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 2 * time.Second}))
	fleetpb.RegisterFleetServer(server, fleetServer{Edge: e})
	context.AfterFunc(ctx, server.Stop)
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		e.log.Error().Err(err).Msg("peers: stopped serving")
	}
}

// levelUpdates lets requests wait for newer quota levels.
type levelUpdates struct {
	mu      sync.Mutex
	updated chan struct{} // closed and replaced when there are newer levels
	asked   chan struct{} // holds an element if levels were asked for
}

func newLevelUpdates() *levelUpdates {
	return &levelUpdates{updated: make(chan struct{}), asked: make(chan struct{}, 1)}
}

// refresh asks for newer levels and reports whether some came before the context ended.
func (u *levelUpdates) refresh(ctx context.Context) bool {
	u.mu.Lock()
	updated := u.updated
	u.mu.Unlock()
	select {
	case u.asked <- struct{}{}:
	default: // has been asked already
	}
	select {
	case <-updated:
		return true
	case <-ctx.Done():
		return false
	}
}

// notify wakes the requests that wait.
func (u *levelUpdates) notify() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.updated)
	u.updated = make(chan struct{})
}

// reporter sends quota usage to a hub or a zone's aggregator and switches to another
// instance when that one fails.
type reporter struct {
	*Edge
	logKey        string // log key of the instance that it reports to: "hub", or "sum" for an aggregator
	zone          bool   // it reports to the zone's aggregator
	receiver      func(rank int) member
	failover      quota.Failover
	withoutLevels int // responses in a row without levels
	peer, trial   peerConn
	lost          bool // the last report failed
}

// report reports quota usage every quota.ReportInterval until the context ends, and sooner
// if requests wait for levels. In a small fleet, each instance reports to the hub: the
// first-ranked live instance that responds. In a large one, it reports to the aggregator,
// which is the first-ranked instance of its zone and reports the zone's total to the hub.
func (e *Edge) report(ctx context.Context) {
	hub := &reporter{Edge: e, logKey: "hub", receiver: e.members.hub}
	aggregator := &reporter{Edge: e, logKey: "sum", zone: true, receiver: func(rank int) member {
		m, _ := e.members.zoneAggregator(rank)
		return m
	}}
	defer hub.peer.close()
	defer aggregator.peer.close()
	for ctx.Err() == nil {
		begin := time.Now()
		zoneAggregator, large := e.members.zoneAggregator(aggregator.failover.Rank())
		if large {
			if _, ok := e.hub.zoneReport(zoneAggregator.Name == e.Name); ok {
				hub.reportTo(ctx, func() quota.Report { r, _ := e.hub.zoneReport(true); return r }, e.hub.setZoneLevels)
			}
			aggregator.reportTo(ctx, e.ownReport, e.setLevels)
		} else {
			hub.reportTo(ctx, e.ownReport, e.setLevels)
		}
		select {
		case <-ctx.Done():
		case <-time.After(quota.ReportInterval - time.Since(begin)):
		case <-e.levels.asked:
			time.Sleep(minReportInterval - time.Since(begin))
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
	e.levels.notify()
}

// reportTo sends a report and passes the response to onLevels. While machines refuse the
// connection, it goes on to the next receivers at once. If a preferred receiver may
// respond again, it is sent a report as well.
func (r *reporter) reportTo(ctx context.Context, report func() quota.Report, onLevels func(quota.Report, quota.Levels, time.Duration)) {
	for range maxFailovers {
		to, sent, sentAt := r.receiver(r.failover.Rank()), report(), now()
		levels, err := r.send(ctx, &r.peer, to, sent, reportTimeout)
		r.logOutcome(to, err)
		switch {
		case err == nil:
			r.withoutLevels = 0
			onLevels(sent, levels, sentAt)
			r.tryPreferred(ctx, report)
			return
		case status.Code(err) == codes.FailedPrecondition:
			// The aggregator runs and may find another hub sooner than this instance would
			// find another aggregator.
			if r.withoutLevels++; r.withoutLevels < maxRoundsWithoutLevels {
				return
			}
		}
		r.withoutLevels = 0
		r.failover.Failed(now())
		if status.Code(err) != codes.Unavailable {
			return
		}
	}
}

// tryPreferred sends a report to a preferred receiver if a trial is due, and uses that one
// from the next report on if it responds with levels.
func (r *reporter) tryPreferred(ctx context.Context, report func() quota.Report) {
	rank, due := r.failover.Succeeded(now())
	if !due {
		return
	}
	defer r.trial.close()
	if _, err := r.send(ctx, &r.trial, r.receiver(rank), report(), quota.TrialTimeout); err == nil {
		r.failover.TrialSucceeded(rank)
	}
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
func (r *reporter) send(ctx context.Context, conn *peerConn, to member, report quota.Report, timeout time.Duration) (quota.Levels, error) {
	if to.Name == r.Name {
		return r.hub.handle(report, r.zone)
	}
	purpose := traffic.Hub
	if r.zone {
		purpose = traffic.ZoneSum
	}
	client, err := conn.client(to.PeerAddress, timeout, r.meter(purpose, to.PeerAddress))
	if err != nil {
		return quota.Levels{}, err
	}
	request := &fleetpb.ReportRequest{
		Instance: report.Instance, Started: report.Started, Members: uint32(report.Members), Zone: r.zone,
		Usages: make([]*fleetpb.Usage, len(report.Usages)),
	}
	for i, u := range report.Usages {
		request.Usages[i] = &fleetpb.Usage{Workspace: u.Workspace, Admitted: u.Admitted}
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.Report(call, request)
	if err != nil {
		if status.Code(err) != codes.FailedPrecondition {
			conn.close()
		}
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
