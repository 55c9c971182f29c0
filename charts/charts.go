// Package charts holds the state charts that the program interprets.
package charts

import "embed"

// Files holds the charts, one in each YAML file.
//
//go:embed *.yaml
var Files embed.FS
