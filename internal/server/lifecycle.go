package server

import (
	"github.com/turmericfield/turmericfield/charts"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

// Names of state charts in package charts, and events of the instance chart.
const (
	chartInstance = "instance"
	chartPlan     = "plan"

	eventStart          = "start"
	eventStop           = "stop"
	eventAnswersExpired = "answers-expired"
	eventFinished       = "finished"
)

// loadCharts reads the state charts and puts the instance in its initial state.
func (s *Server) loadCharts() error {
	all, err := statechart.Load(charts.Files)
	if err != nil {
		return err
	}
	s.lifecycle = statechart.NewMachine(all[chartInstance])
	s.operatorService.PlanChart = all[chartPlan]
	return nil
}

// fireEvent moves the instance to the state to which an event leads.
func (s *Server) fireEvent(event string) {
	if err := s.lifecycle.Fire(event); err != nil {
		s.logger("server").Error().Err(err).Msg("server: unexpected event")
		return
	}
	s.logger("server").Info().Str("state", s.lifecycle.State()).Msg("server: changed state")
}
