package scripts

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"text/template"
	"time"

	"github.com/turmericfield/turmericfield/internal/command"
)

// The check of an accepted configuration with 100,000 routes must take less than a second
// and less than 300 MB, also if each second route has a finding. A comparison reads two of
// them and may find that all routes differ; it has the same memory and four seconds. Time
// is that of the processors, which is no less than that by the clock on an idle machine and
// does not grow as much with other processes; one of several runs must be in time, and each
// must keep to the memory.
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
				cmd := exec.Command(peakMemoryCommand, args...)
				var peak bytes.Buffer
				cmd.Stderr = &peak
				output, _ := cmd.Output() // warnings end with code 1
				best = min(best, cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime())
				if !strings.Contains(string(output), c.want) {
					t.Fatalf("%.200s", output)
				}
				_, text, _ := strings.Cut(peak.String(), "VmHWM:")
				memory, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
				if err != nil {
					t.Fatalf("%v in %q", err, peak.String())
				}
				most = max(most, memory)
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

// peakMemoryCommand is the turmericfield command that writes its greatest memory to
// standard error at its end. The usage that the system reports to a parent will not do,
// since it counts the parent's own memory as well.
const peakMemoryCommand = "turmericfield-peak-memory"

func runWithPeakMemory() {
	code := command.Main()
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if strings.HasPrefix(line, "VmHWM:") {
			fmt.Fprintln(os.Stderr, line)
		}
	}
	os.Exit(code)
}
