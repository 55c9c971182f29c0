package gateway

import (
	"testing"

	"github.com/turmericfield/turmericfield/internal/affinity"
)

func TestLoadAndPaceOfATarget(t *testing.T) {
	for header, want := range map[string]affinity.Report{
		"3,1,8":                   {HasLoad: true, Load: 4},
		" 3 , 1 , 8 ":             {HasLoad: true, Load: 4},
		"3,1,8,100":               {HasLoad: true, Load: 4, Pace: 1},
		"3,1,8, 250":              {HasLoad: true, Load: 4, Pace: 2.5},
		"3,1,8,":                  {HasLoad: true, Load: 4},
		"3,1,8,0":                 {HasLoad: true, Load: 4},
		"3,1,8,-100":              {HasLoad: true, Load: 4},
		"3,1,8,2.5":               {HasLoad: true, Load: 4},
		"3,1,8,1000000":           {HasLoad: true, Load: 4},
		"":                        {},
		"3,1":                     {},
		"3,1,8,100,1":             {},
		"-3,1,8,100":              {},
		"three,1,8,100":           {},
		"3,9223372036854775807,8": {},
	} {
		var report affinity.Report
		if parseLoad(header, &report); report != want {
			t.Errorf("%q: got %+v, want %+v", header, report, want)
		}
	}
}
