package scripts

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"text/template"
	"time"
)

// The check of an accepted configuration with 100,000 routes must take less than a second
// and less than 300 MB, also if each second route has a finding. Other processes may slow
// a run down, so that one of several must be in time; each must keep to the memory.
func TestConfigCheckOfManyRoutes(t *testing.T) {
	const (
		routes      = 100_000
		maxTime     = time.Second
		maxMemoryKB = 300_000
		runs        = 8
	)
	for _, c := range []struct {
		name     string
		prefixes int // that differ
		want     string
	}{
		{"clean", routes, "0 errors, 0 warnings, 0 differences"},
		{"hidden", routes / 2, "0 errors, 50000 warnings, 0 differences"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "configuration.json")
			if err := os.WriteFile(file, manyRoutes(t, routes, c.prefixes), 0o600); err != nil {
				t.Fatal(err)
			}
			best := time.Hour
			for range runs {
				start := time.Now()
				cmd := exec.Command("turmericfield", "config", "check", file)
				output, _ := cmd.Output() // warnings end with code 1
				best = min(best, time.Since(start))
				if !strings.Contains(string(output), c.want) {
					t.Fatalf("%.200s", output)
				}
				if memory := cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss; memory > maxMemoryKB {
					t.Fatalf("%d kB of memory", memory)
				}
				if best < maxTime {
					break
				}
			}
			t.Logf("best time %v", best)
			if best >= maxTime {
				t.Errorf("%v", best)
			}
		})
	}
}

// manyRoutes returns an accepted configuration with routes over 100 hosts, 1,000 services
// and 1,000 workspaces. prefixes is the number of routes that differ.
func manyRoutes(t *testing.T, routes, prefixes int) []byte {
	t.Helper()
	var text bytes.Buffer
	parameters := struct{ Routes, Prefixes, Hosts, Others int }{routes, prefixes, 100, 1000}
	form := template.New("manyroutes.json.tmpl").Funcs(template.FuncMap{
		"mod": func(a, b int) int { return a % b }, "div": func(a, b int) int { return a / b },
	})
	form, err := form.ParseFiles(filepath.Join("testdata", "manyroutes.json.tmpl"))
	if err == nil {
		err = form.Execute(&text, parameters)
	}
	if err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}
