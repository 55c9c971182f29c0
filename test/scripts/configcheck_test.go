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
// and less than 300 MB, also if each second route has a finding. A comparison reads two of
// them and may find that all routes differ; it has the same memory and four seconds. Other
// processes may slow a run down, so that one of several must be in time; each must keep to
// the memory.
func TestConfigCheckOfManyRoutes(t *testing.T) {
	const (
		routes      = 100_000
		maxMemoryKB = 300_000
		runs        = 8
	)
	for _, c := range []struct {
		name     string
		prefixes int // that differ
		against  bool
		maxTime  time.Duration
		want     string
	}{
		{"clean", routes, false, time.Second, "0 errors, 0 warnings, 0 differences"},
		{"hidden", routes / 2, false, time.Second, "0 errors, 50000 warnings, 0 differences"},
		{"compared", routes, true, 4 * time.Second, "0 errors, 0 warnings, 100000 differences"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "configuration.json")
			if err := os.WriteFile(file, manyRoutes(t, routes, c.prefixes, 2.5), 0o600); err != nil {
				t.Fatal(err)
			}
			args := []string{"config", "check", file}
			if c.against {
				other := file + ".other"
				if err := os.WriteFile(other, manyRoutes(t, routes, c.prefixes, 2.6), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append(args, "--against", other)
			}
			best, most := time.Hour, int64(0)
			for range runs {
				start := time.Now()
				cmd := exec.Command("turmericfield", args...)
				output, _ := cmd.Output() // warnings end with code 1
				best = min(best, time.Since(start))
				if !strings.Contains(string(output), c.want) {
					t.Fatalf("%.200s", output)
				}
				most = max(most, cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss)
				if best < c.maxTime {
					break
				}
			}
			t.Logf("best time %v, most memory %d kB", best, most)
			if best >= c.maxTime {
				t.Errorf("%v, want less than %v", best, c.maxTime)
			}
			if most >= maxMemoryKB {
				t.Errorf("%d kB of memory, want less than %d", most, maxMemoryKB)
			}
		})
	}
}

// manyRoutes returns an accepted configuration with routes over 100 hosts, 1,000 services
// and 1,000 workspaces. prefixes is the number of routes that differ, timeout
// that of all routes in seconds.
func manyRoutes(t *testing.T, routes, prefixes int, timeout float64) []byte {
	t.Helper()
	var text bytes.Buffer
	parameters := struct {
		Routes, Prefixes, Hosts, Others int
		Timeout                         float64
	}{routes, prefixes, 100, 1000, timeout}
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
