package edge

import (
	"bytes"
	"maps"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/affinity"
	"github.com/turmericfield/turmericfield/internal/mirror"
	"github.com/turmericfield/turmericfield/internal/platform"
	"github.com/turmericfield/turmericfield/internal/quota"
)

// registration is a target's entry, decoded.
type registration struct {
	revision uint64
	target   affinity.Target
	err      error // the entry names no target to use
}

// decodeTarget decodes a target's entry, each revision once. The follower's lock
// guards what it keeps.
func (e *Edge) decodeTarget(entry platform.Entry) registration {
	known, ok := e.decoded[entry.Key]
	if ok && known.revision == entry.Revision {
		return known
	}
	r := registration{revision: entry.Revision}
	r.target, r.err = e.adapter.Target(strings.TrimPrefix(entry.Key, e.keys.Targets), entry.Value)
	r.target.Region = e.Regions[r.target.AvailabilityZone]
	if r.err != nil && (!ok || known.err == nil) {
		e.log.Warn().Err(r.err).Uint64("revision", entry.Revision).Msg("target: registration cannot be used")
	}
	e.decoded[entry.Key] = r
	return r
}

// sameEntry tells whether two values of a key mean the same to every instance.
func (e *Edge) sameEntry(old, next platform.Entry) bool {
	if !strings.HasPrefix(next.Key, e.keys.Targets) {
		return bytes.Equal(old.Value, next.Value)
	}
	a, b := e.decodeTarget(old), e.decodeTarget(next)
	return a.err == nil && b.err == nil && sameTarget(a.target, b.target)
}

// sameTarget tells whether a target is as it was. The rest of its time as a cold one
// grows shorter by itself; its end is passed on, so that another start of it shows.
func sameTarget(old, next affinity.Target) bool {
	if next.ColdFor > 0 && next.ColdFor <= old.ColdFor {
		next.ColdFor = old.ColdFor
	}
	return old == next
}

// applyTargets puts the registered targets into use if any of them changed.
func (e *Edge) applyTargets(m *mirror.Mirror) {
	changed, leaving := false, 0
	seen := make(map[string]registration, len(e.targets))
	var targets []affinity.Target
	m.Each(e.keys.Targets, func(entry platform.Entry) {
		r := e.decodeTarget(entry)
		seen[entry.Key] = r
		old, ok := e.targets[entry.Key]
		changed = changed || !ok || !sameTarget(old.target, r.target) || (old.err == nil) != (r.err == nil)
		if r.err != nil {
			return
		}
		if r.target.Leaving {
			leaving++
		}
		t := r.target
		t.Revision = r.revision
		targets = append(targets, t)
	})
	changed = changed || len(seen) != len(e.targets)
	e.targets, e.decoded = seen, maps.Clone(seen)
	if !changed {
		return
	}
	e.gateway.WithState(func(b *affinity.Balancer, _ *quota.Shares, now time.Duration) { b.SetTargets(targets, now) })
	e.log.Info().Uint64("revision", m.Revision()).Int("targets", len(targets)).Int("leaving", leaving).Msg("targets: changed")
}

func (e *Edge) applyMembers(m *mirror.Mirror) {
	var list []member
	m.Each(e.keys.Own+instancePrefix, func(entry platform.Entry) {
		one, err := decodeMember(entry.Value)
		if err != nil {
			e.log.Warn().Err(err).Str("key", entry.Key).Msg("instance: entry cannot be used")
			return
		}
		list = append(list, one)
	})
	names, changed := e.members.set(list)
	if !changed {
		return
	}
	e.gateway.SetInstances(names)
	region, elsewhere := e.members.ranked()
	e.follower.chooser.SetLiveInstances(e.Name, region, elsewhere)
	e.log.Info().Uint64("revision", m.Revision()).Strs("instances", names).Msg("instances: changed")
}
