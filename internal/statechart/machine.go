package statechart

import (
	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// ErrEventNotAllowed is the error of Machine.Fire for an event that the chart does not
// allow in the present state.
var ErrEventNotAllowed = errors.New("event is not allowed in this state")

// Machine is a state machine that a chart describes. It is safe for concurrent use.
type Machine struct {
	chart   *Chart
	machine *stateless.StateMachine
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(c *Chart) *Machine {
	inner := stateless.NewStateMachineWithMode(c.Initial, stateless.FiringImmediate)
	for _, s := range c.States {
		configured := inner.Configure(s.Name)
		for _, event := range sortedEvents(s) {
			if s.On[event] == s.Name {
				configured.PermitReentry(event)
				continue
			}
			configured.Permit(event, s.On[event])
		}
	}
	return &Machine{chart: c, machine: inner}
}

// State returns the name of the present state.
func (m *Machine) State() string { return m.machine.MustState().(string) }

// Fire changes the state as the chart says for an event. If the chart does not allow
// the event, the state stays and the error is marked ErrEventNotAllowed.
func (m *Machine) Fire(event string) error {
	if err := m.machine.Fire(event); err != nil {
		return errors.Wrapf(ErrEventNotAllowed, "chart %s: %q in %q", m.chart.Name, event, m.State())
	}
	return nil
}
