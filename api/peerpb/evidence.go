package peerpb

import (
	"time"

	"github.com/turmericfield/turmericfield/internal/freshness"
)

// EvidenceToProto returns the message that passes evidence on to another instance.
func EvidenceToProto(e freshness.Evidence) *Evidence {
	out := &Evidence{ConfigVersion: e.Versions.Config, SeatsVersion: e.Versions.Seats, AgeUs: -1}
	if e.Age >= 0 {
		out.AgeUs = microsecondsUp(e.Age)
	}
	for _, v := range e.Vouchers {
		p := &Voucher{
			Instance: v.Writer.Instance, Incarnation: v.Writer.Incarnation,
			ConfigVersion: v.Config, AgeUs: microsecondsUp(v.Age), Final: v.Final,
		}
		for _, s := range v.Seats {
			p.Seats = append(p.Seats, &SeatsVersion{AvailabilityZone: s.AvailabilityZone, Version: s.Version})
		}
		out.Vouchers = append(out.Vouchers, p)
	}
	return out
}

// EvidenceFromProto returns the evidence that another instance has passed on. If p is
// nil, it is no evidence.
func EvidenceFromProto(p *Evidence) freshness.Evidence {
	e := freshness.Evidence{Versions: freshness.Versions{Config: p.GetConfigVersion(), Seats: p.GetSeatsVersion()}, Age: -1}
	if p != nil && p.GetAgeUs() >= 0 {
		e.Age = time.Duration(p.GetAgeUs()) * time.Microsecond
	}
	for _, v := range p.GetVouchers() {
		out := freshness.Voucher{
			Writer: freshness.WriterID{Instance: v.GetInstance(), Incarnation: v.GetIncarnation()},
			Config: v.GetConfigVersion(), Age: time.Duration(v.GetAgeUs()) * time.Microsecond, Final: v.GetFinal(),
		}
		for _, s := range v.GetSeats() {
			out.Seats = append(out.Seats, freshness.SeatsVersion{AvailabilityZone: s.GetAvailabilityZone(), Version: s.GetVersion()})
		}
		e.Vouchers = append(e.Vouchers, out)
	}
	return e
}

// microsecondsUp returns an age in microseconds, rounded up so that evidence never
// looks younger than it is.
func microsecondsUp(age time.Duration) int64 {
	return int64((age + time.Microsecond - 1) / time.Microsecond)
}
