package edge

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// registration is a target's decoded entry in the store.
type registration struct {
	revision uint64 // store revision of the entry
	target   affinity.Target
	err      error // why the entry cannot be used; nil if it can
}

// decodeTarget decodes a target's entry, each revision once: results are cached by
// key. The caller holds the follower's lock.
func (e *Edge) decodeTarget(entry platform.Entry) registration {
	known, ok := e.decoded[entry.Key]
	if ok && known.revision == entry.Revision {
		return known
	}
	r := registration{revision: entry.Revision}
	r.target, r.err = e.adapter.Target(strings.TrimPrefix(entry.Key, e.storeKeys.TargetPrefix), entry.Value)
	r.target.Region = e.RegionByZone[r.target.AvailabilityZone]
	e.decoded[entry.Key] = r
	return r
}

// sameEntry reports whether two versions of an entry are equivalent to all instances,
// so that the change need not be passed on.
func (e *Edge) sameEntry(old, next platform.Entry) bool {
	switch {
	case platform.RevisionEra(old.Revision) < platform.RevisionEra(next.Revision):
		return false // written again after the store came back as an older copy
	case strings.HasPrefix(next.Key, e.storeKeys.OwnPrefix+instancePrefix):
		return false // mirrors compare the revisions of instances' entries after an outage
	case !strings.HasPrefix(next.Key, e.storeKeys.TargetPrefix):
		return bytes.Equal(old.Value, next.Value)
	}
	a, b := e.decodeTarget(old), e.decodeTarget(next)
	return a.err == nil && b.err == nil && sameTarget(a.target, b.target)
}

// isOutdated reports whether an entry that the store lists after it came back as an older
// copy shows an earlier state than the known one: a lower version of the configuration, an
// earlier process of a target, or one that does not leave yet.
func (e *Edge) isOutdated(known, listed platform.Entry) bool {
	if known.Key == e.storeKeys.Configuration {
		old, err := e.adapter.Configuration(known.Value)
		if err != nil {
			return false
		}
		next, err := e.adapter.Configuration(listed.Value)
		return err != nil || next.Version < old.Version
	}
	id, isTarget := strings.CutPrefix(known.Key, e.storeKeys.TargetPrefix)
	if !isTarget {
		return false
	}
	old, err := e.adapter.Target(id, known.Value)
	if err != nil {
		return false
	}
	next, err := e.adapter.Target(id, listed.Value)
	return err == nil && (next.Started < old.Started || next.Started == old.Started && old.Leaving && !next.Leaving)
}

// sameTarget reports whether a target's registration has not changed, apart from the
// remaining time in which the target is cold (recently started, with empty caches).
// That time shrinks by itself. Its reaching 0 counts as a change, so that a later cold
// start is noticed.
func sameTarget(old, next affinity.Target) bool {
	if next.ColdFor > 0 && next.ColdFor <= old.ColdFor {
		next.ColdFor = old.ColdFor
	}
	return old == next
}

// applyTargets passes the registered targets of the configured services to the balancer
// if any of them changed, or if the configuration did.
func (e *Edge) applyTargets(m *mirror.Mirror, configurationChanged bool) {
	table := e.gateway.Table()
	changed, leaving := configurationChanged, 0
	seen := make(map[string]registration, len(e.targets))
	var targets []affinity.Target
	m.Each(e.storeKeys.TargetPrefix, func(entry platform.Entry) {
		r := e.decodeTarget(entry)
		seen[entry.Key] = r
		old, ok := e.targets[entry.Key]
		switch {
		case r.err != nil && !sameError(old.err, r.err):
			e.log.Warn().Err(r.err).Uint64("revision", platform.RevisionNumber(r.revision)).Msg("target: registration cannot be used")
		case r.err == nil && old.err != nil:
			e.log.Info().Str("target", r.target.ID).Uint64("revision", platform.RevisionNumber(r.revision)).Msg("target: registration can be used again")
		}
		changed = changed || !ok || !sameTarget(old.target, r.target) || (old.err == nil) != (r.err == nil)
		if r.err != nil || table == nil || table.Services[r.target.Service] == nil {
			return
		}
		if r.target.Leaving {
			leaving++
		}
		t := r.target
		t.Revision = r.revision
		t.Age = max(time.Since(time.UnixMilli(t.Started)), 0)
		targets = append(targets, t)
	})
	changed = changed || len(seen) != len(e.targets)
	if ended := endedTargets(e.targets, seen); len(ended) > 0 {
		// Before the lines about the next processes of these targets.
		e.log.Info().Uint64("revision", platform.RevisionNumber(m.Revision())).Strs("ended", ended).Msg("targets: ended")
	}
	e.targets, e.decoded = seen, maps.Clone(seen)
	if !changed {
		return
	}
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.SetTargets(targets, now) })
	e.log.Info().Uint64("revision", platform.RevisionNumber(m.Revision())).Int("targets", len(targets)).Int("leaving", leaving).Msg("targets: changed")
}

// sameError reports whether two entries cannot be used for the same reason.
func sameError(old, next error) bool { return old != nil && old.Error() == next.Error() }

// endedTargets returns the sorted ids of the targets whose processes are in the old
// registrations but not in the next.
func endedTargets(old, next map[string]registration) []string {
	var ids []string
	for key, r := range old {
		if n, ok := next[key]; r.err == nil && (!ok || n.target.Started != r.target.Started) {
			ids = append(ids, r.target.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// applyMembers updates the view of the fleet from the instances' entries in the store,
// and what depends on it: the quota shares and the choice of a source.
func (e *Edge) applyMembers(m *mirror.Mirror) {
	var list []member
	self := uint64(0) // revision of this instance's entry
	unusable := map[string]error{}
	e.registeredVersion = 0
	m.Each(e.storeKeys.OwnPrefix+instancePrefix, func(entry platform.Entry) {
		instance, err := decodeMember(strings.TrimPrefix(entry.Key, e.storeKeys.OwnPrefix+instancePrefix), entry.Value)
		if err != nil {
			unusable[entry.Key] = err
			if !sameError(e.unusableMembers[entry.Key], err) {
				e.log.Warn().Err(err).Str("key", entry.Key).Msg("instance: entry cannot be used")
			}
			return
		}
		if instance.Name == e.Name {
			self = entry.Revision
		}
		e.registeredVersion = max(e.registeredVersion, instance.Configuration)
		instance.Configuration = 0 // no part of what the list is compared by
		list = append(list, instance)
	})
	e.unusableMembers = unusable
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) { b.SetRegistration(self, now) })
	e.checkRegistered(m)
	names, changed := e.members.replace(list)
	if !changed {
		return
	}
	e.gateway.SetInstances(names)
	region, otherRegions, departed := e.members.rankedNames()
	e.follower.chooser.SetZones(e.members.regionZones())
	e.follower.chooser.SetLiveInstances(e.Name, region, otherRegions, slices.Concat(departed, e.PeerSeeds))
	e.log.Info().Uint64("revision", platform.RevisionNumber(m.Revision())).Strs("instances", names).Msg("instances: changed")
}

// noteRegistered records the revision at which this instance wrote its entry.
func (e *Edge) noteRegistered(revision uint64) {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	e.registeredAt = revision
	e.checkRegistered(e.follower.mirror)
}

// checkRegistered makes this instance register again if the copy is not older than its
// entry and lacks it. The caller holds the follower's lock.
func (e *Edge) checkRegistered(m *mirror.Mirror) {
	if e.registeredAt == 0 || m.Revision() < e.registeredAt {
		return
	}
	if _, listed := m.Get(e.storeKeys.OwnPrefix + instancePrefix + e.Name); !listed {
		e.registeredAt = 0
		e.registerAgain(true)
	}
}

// confirmInstances tells the balancer as of when the instances in the copy were current.
func (e *Edge) confirmInstances(currentAsOf time.Duration) {
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Limiter, now time.Duration) {
		b.SetInstancesCurrentAsOf(currentAsOf, now)
	})
}
