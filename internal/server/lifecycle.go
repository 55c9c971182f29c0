package server

import (
	"github.com/turmericfield/turmericfield/charts"
	"github.com/turmericfield/turmericfield/internal/statechart"
)

// Charts and events that the instance fires.
const (
	chartInstance = "instance"
	chartPlan     = "plan"

	eventStart          = "start"
	eventStop           = "stop"
	eventAnswersExpired = "answers-expired"
	eventFinished       = "finished"
)

// loadCharts reads the charts and puts the instance at the start of its life.
func (s *Server) loadCharts() error {
	all, err := statechart.Load(charts.Files)
	if err != nil {
		return err
	}
	s.lifecycle = statechart.NewMachine(all[chartInstance])
	s.operatorService.PlanChart = all[chartPlan]
	return nil
}

// fireEvent fires an event of the instance's life.
func (s *Server) fireEvent(event string) {
	if err := s.lifecycle.Fire(event); err != nil {
		s.logger("server").Error().Err(err).Msg("server: unexpected event")
		return
	}
	s.logger("server").Info().Str("state", s.lifecycle.State()).Msg("server: changed state")
}
