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
	s.life = statechart.NewMachine(all[chartInstance])
	s.control.PlanChart = all[chartPlan]
	return nil
}

// move fires an event of the instance's life.
func (s *Server) move(event string) {
	if err := s.life.Fire(event); err != nil {
		s.part("server").Error().Err(err).Msg("server: unexpected event")
		return
	}
	s.part("server").Info().Str("state", s.life.State()).Msg("server: changed state")
}
