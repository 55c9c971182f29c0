// Package charts holds state charts: one YAML file for each kind of thing that has
// states, with the events that lead from state to state. Package statechart reads
// them.
//
// The program runs the charts instance and plan. The charts lease, plan and writer
// have models in the folder spec, which a test compares with them. Package availability
// has the transitions of the chart availability, by a test. The others are a description
// of states that are kept elsewhere in the program.
package charts

import "embed"

// Files has one chart in each YAML file.
//
//go:embed *.yaml
var Files embed.FS
