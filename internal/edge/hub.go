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

// errLeaving means that an instance is about to stop and takes no reports any more.
var errLeaving = status.Error(codes.Unavailable, "the instance is about to stop")

// Report implements fleetpb.FleetServer.
func (f fleetServer) Report(_ context.Context, r *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	if r.GetProbe() {
		if f.members.hands(r.GetZone()) {
			return nil, errLeaving
		}
		return &fleetpb.ReportResponse{SentAtNs: int64(now())}, nil
	}
	report := quota.Report{
		Instance: r.GetInstance(), Started: r.GetStarted(), Members: int(r.GetMembers()), Carries: r.GetCarries(),
		Fleet: int(r.GetFleet()), Guest: r.GetGuest(), Release: r.GetRelease(), Echo: time.Duration(r.GetEchoNs()),
	}
	for _, u := range r.GetUsages() {
		report.Usages = append(report.Usages, quota.Usage{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted(), Settled: u.GetAdmitted() - min(u.GetUnsettled(), u.GetAdmitted())})
	}
	if r.GetHeld() != nil {
		held := decodeLevels(r.GetHeld())
		report.Held, report.HeldAt = &held, now()-held.Age
	}
	levels, err := f.hub.handle(report, r.GetZone())
	if err != nil {
		return nil, err
	}
	return encodeLevels(levels), nil
}

func encodeLevels(l quota.Levels) *fleetpb.ReportResponse {
	out := &fleetpb.ReportResponse{
		Share: l.Share, Part: l.Part, AgeNs: int64(l.Age), Levels: make([]*fleetpb.Level, len(l.Levels)), Members: uint32(l.Members),
		Joined: l.Joined, Released: l.Released, Fleet: uint32(l.Fleet), SentAtNs: int64(l.SentAt), Generation: l.Generation, NoLevels: l.NoLevels,
	}
	for i, level := range l.Levels {
		out.Levels[i] = &fleetpb.Level{Workspace: level.Workspace, Left: float32(level.Left)}
	}
	return out
}

func decodeLevels(r *fleetpb.ReportResponse) quota.Levels {
	l := quota.Levels{
		Share: r.GetShare(), Part: r.GetPart(), Age: time.Duration(r.GetAgeNs()), Levels: make([]quota.Level, len(r.GetLevels())), Members: int(r.GetMembers()),
		Joined: r.GetJoined(), Released: r.GetReleased(), Fleet: int(r.GetFleet()), SentAt: time.Duration(r.GetSentAtNs()), Generation: r.GetGeneration(), NoLevels: r.GetNoLevels(),
	}
	for i, level := range r.GetLevels() {
		l.Levels[i] = quota.Level{Workspace: level.GetWorkspace(), Left: float64(level.GetLeft())}
	}
	return l
}

// handle gives a report to the zone's aggregator if zone is true, otherwise to the
// fleet's hub, and returns the resulting quota levels.
func (h *hubServer) handle(r quota.Report, zone bool) (quota.Levels, error) {
	leaving := h.members.hands(zone)
	registered, lately := 0, 0
	if !zone {
		registered, lately = h.instances()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.gateway.Table()
	if zone {
		if t != nil {
			h.aggregator.SetWorkspaces(t.Workspaces)
		}
		h.aggregator.SetLeaving(leaving)
		levels, ok := h.aggregator.Handle(r, now())
		if !ok {
			h.levels.ask()
		}
		switch {
		case !ok && !r.Carries:
			return levels, errNoLevels
		case ok && leaving && !levels.Released:
			return levels, errLeaving
		}
		return levels, nil
	}
	h.hub.SetInstances(registered, lately)
	if t != nil {
		h.hub.SetWorkspaces(t.Workspaces)
	}
	h.hub.SetLeaving(leaving)
	levels := h.hub.Handle(r, now())
	if leaving && !levels.Released {
		return levels, errLeaving
	}
	return levels, nil
}

// instances returns the arguments of quota.Hub.SetInstances. One that is about to stop does
// not count fewer than before, since others may be about to stop too.
func (h *hubServer) instances() (registered, lately int) {
	registered = len(h.members.names())
	h.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, now time.Duration) {
		if lately = q.Instances(now); q.Leaving() {
			registered = max(registered, lately)
		}
	})
	return registered, lately
}

// hasReporters reports whether an instance reports to this one, as to its zone's aggregator if
// zone is true, otherwise as to the fleet's hub.
func (h *hubServer) hasReporters(zone bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if zone {
		return h.aggregator.HasReporters(now())
	}
	return h.hub.HasReporters(now())
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
	u.ask()
	select {
	case <-updated:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask makes the next report follow soon.
func (u *levelUpdates) ask() {
	select {
	case u.asked <- struct{}{}:
	default: // has been asked already
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
// instance when that one fails or is about to stop.
type reporter struct {
	*Edge
	logKey   string // log key of the instance that it reports to: "hub", or "sum" for an aggregator
	zone     bool   // it reports to the zone's aggregator
	receiver func(rank int) member
	failover quota.Failover
	pledge   *quota.Pledge
	// unpledged says that a receiver counts the share at once, though another one may still
	// give it out: by way of an aggregator, moving it takes longer than requests can wait.
	unpledged     bool
	receivers     map[string]member // those with which the pledge may be, by its names
	left          string            // instance that has handed back the share because it is about to stop
	silent        string            // receiver that has not responded, by the pledge's names
	withoutLevels int               // responses in a row without levels
	peer, trial   peerConn
	lost          bool // the last report failed
}

// report reports quota usage every quota.ReportInterval until the context ends, and sooner
// if requests wait for levels. In a small fleet, each instance reports to the hub: the
// first-ranked live instance that responds. In a large one, it reports to the aggregator,
// which is the first-ranked instance of its zone and reports the zone's total to the hub.
func (e *Edge) report(ctx context.Context) {
	hub := &reporter{Edge: e, logKey: "hub", receiver: e.members.hub, pledge: &quota.Pledge{}, receivers: map[string]member{}}
	zone := &reporter{Edge: e, logKey: "hub", receiver: e.members.hub, pledge: &quota.Pledge{}, receivers: map[string]member{}, unpledged: true}
	// The share of this instance is with a hub or, in a large fleet, with an aggregator.
	aggregator := &reporter{Edge: e, logKey: "sum", zone: true, pledge: hub.pledge, receivers: map[string]member{}, unpledged: true, receiver: func(rank int) member {
		m, _ := e.members.zoneAggregator(rank)
		return m
	}}
	defer hub.peer.close()
	defer zone.peer.close()
	defer aggregator.peer.close()
	for ctx.Err() == nil {
		begin := time.Now()
		zoneAggregator, large := e.members.zoneAggregator(aggregator.failover.Rank())
		if large {
			if _, ok := e.hub.zoneReport(zoneAggregator.Name == e.Name); ok {
				zone.reportTo(ctx, func() quota.Report { r, _ := e.hub.zoneReport(true); return r }, e.hub.setZoneLevels)
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
// connection or are about to stop, it goes on to the next receivers at once. If a
// preferred receiver may respond again, the next report goes there.
func (r *reporter) reportTo(ctx context.Context, report func() quota.Report, onLevels func(quota.Report, quota.Levels, time.Duration)) {
	for range maxFailovers {
		to := r.next(r.failover.Rank())
		r.release(ctx, to, report, onLevels)
		levels, err := r.exchange(ctx, &r.peer, to, report(), reportTimeout, onLevels)
		r.logOutcome(to, err)
		switch {
		case err == nil && levels.Released:
			r.left = to.Name
			r.log.Info().Str(r.logKey, to.Name).Int("members", levels.Members).Msg("hub: handed over")
			r.metrics.Add("quota_handovers_total", 1)
			continue
		case err == nil && !levels.NoLevels:
			r.withoutLevels, r.silent = 0, ""
			r.tryPreferred(ctx)
			return
		case err == nil || status.Code(err) == codes.FailedPrecondition:
			// The aggregator runs and may find another hub sooner than this instance would
			// find another aggregator.
			if r.withoutLevels++; r.withoutLevels < maxRoundsWithoutLevels {
				return
			}
		case status.Code(err) != codes.Unavailable:
			r.silent = r.key(to)
		}
		r.withoutLevels = 0
		r.failover.Failed(now())
		if status.Code(err) != codes.Unavailable {
			return
		}
	}
}

// next returns the receiver of a rank, without one that is about to stop. An instance that
// has just started knows nothing to tell itself until others report to it.
func (r *reporter) next(rank int) member {
	to := r.receiver(rank)
	leaving := to.Name == r.left && r.members.isRegistered(to.Name)
	if leaving || to.Name == r.Name && r.joining() && !r.hub.hasReporters(r.zone) {
		return r.receiver(rank + 1)
	}
	return to
}

// joining reports whether this instance does not know yet how many share the quotas.
func (r *reporter) joining() (joining bool) {
	r.gateway.WithState(func(_ *affinity.Balancer, q *quota.Limiter, now time.Duration) { joining = q.Joining(now) })
	return joining
}

// key returns the name of a receiver in the pledge.
func (r *reporter) key(to member) string { return r.logKey + " " + to.Name }

// release lets another receiver hand back the share, if one may still give it out.
func (r *reporter) release(ctx context.Context, to member, report func() quota.Report, onLevels func(quota.Report, quota.Levels, time.Duration)) {
	if r.unpledged {
		return
	}
	holder := r.pledge.Holder(r.key(to), now())
	from, ok := r.receivers[holder]
	if !ok || holder == r.silent {
		return
	}
	r.silent = holder
	last := report()
	last.Release = true
	levels, err := r.exchange(ctx, &r.peer, from, last, quota.TrialTimeout, onLevels)
	if err == nil && levels.Released {
		r.log.Info().Str(r.logKey, from.Name).Str("next", to.Name).Int("members", levels.Members).Msg("hub: handed over")
		r.metrics.Add("quota_handovers_total", 1)
	}
}

// exchange sends a report and stores what the response tells.
func (r *reporter) exchange(ctx context.Context, conn *peerConn, to member, report quota.Report, timeout time.Duration, onLevels func(quota.Report, quota.Levels, time.Duration)) (quota.Levels, error) {
	key, ttl, sentAt := r.key(to), quota.FlatTTL, now()
	if r.zone {
		ttl = quota.ZoneTTL
	}
	if r.unpledged {
		report.Carries, report.Guest, report.Held = false, false, nil
		levels, err := r.send(ctx, conn, to, report, timeout)
		if err == nil && !levels.NoLevels {
			onLevels(report, levels, sentAt)
		}
		return levels, err
	}
	r.pledge.Prepare(&report, key, ttl, sentAt)
	levels, err := r.send(ctx, conn, to, report, timeout)
	if err != nil {
		if to.Name != r.Name && conn.refused != nil && conn.refused.Load() {
			r.pledge.Gone(key)
		}
		return levels, err
	}
	if len(r.receivers) >= maxDeparted {
		clear(r.receivers)
	}
	r.receivers[key] = to
	if r.pledge.Responded(report, key, levels, now()) {
		r.levels.ask()
	}
	if !levels.NoLevels {
		onLevels(report, levels, sentAt)
	}
	return levels, nil
}

// tryPreferred asks a preferred receiver, if a trial is due, whether it can be used, and
// uses it from the next report on if so.
func (r *reporter) tryPreferred(ctx context.Context) {
	rank, due := r.failover.Succeeded(now())
	if !due {
		return
	}
	to := r.next(rank)
	if to.Name == r.Name {
		if !r.members.hands(r.zone) {
			r.failover.TrialSucceeded(rank)
		}
		return
	}
	defer r.trial.close()
	client, err := r.trial.client(to.PeerAddress, quota.TrialTimeout, r.meterOf(to))
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, quota.TrialTimeout)
	defer cancel()
	// Versions that know no probes count it as a reporter; it must not be this instance.
	_, err = client.Report(call, &fleetpb.ReportRequest{Instance: "probe of " + r.Name, Zone: r.zone, Probe: true})
	switch {
	case err == nil:
		r.failover.TrialSucceeded(rank)
	case status.Code(err) == codes.DeadlineExceeded:
		r.failover.TrialTimedOut(now())
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

// meterOf returns the meter of the reports to a receiver.
func (r *reporter) meterOf(to member) *traffic.Meter {
	purpose := traffic.Hub
	if r.zone {
		purpose = traffic.ZoneSum
	}
	return r.meter(purpose, to.PeerAddress)
}

// send sends one report over gRPC, or hands it over directly if this instance is the
// receiver.
func (r *reporter) send(ctx context.Context, conn *peerConn, to member, report quota.Report, timeout time.Duration) (quota.Levels, error) {
	if to.Name == r.Name {
		return r.hub.handle(report, r.zone)
	}
	client, err := conn.client(to.PeerAddress, timeout, r.meterOf(to))
	if err != nil {
		return quota.Levels{}, err
	}
	request := &fleetpb.ReportRequest{
		Instance: report.Instance, Started: report.Started, Members: uint32(report.Members), Zone: r.zone,
		Usages: make([]*fleetpb.Usage, len(report.Usages)), Carries: report.Carries, Fleet: uint32(report.Fleet), Guest: report.Guest, Release: report.Release, EchoNs: int64(report.Echo),
	}
	for i, u := range report.Usages {
		request.Usages[i] = &fleetpb.Usage{Workspace: u.Workspace, Admitted: u.Admitted, Unsettled: u.Admitted - min(u.Settled, u.Admitted)}
	}
	if report.Held != nil {
		request.Held = encodeLevels(*report.Held)
		request.Held.AgeNs = int64(now() - report.HeldAt)
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
	return decodeLevels(response), nil
}
