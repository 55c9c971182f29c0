// Package settings lets each command-line flag be set by an environment variable as
// well, and collects the faults of a process's settings, so that all are reported at
// once.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// EnvPrefix begins the name of every environment variable.
const EnvPrefix = "TURMERICFIELD_"

// EnvName returns the name of the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// AddEnvToUsage adds the name of its environment variable to each flag's usage text.
func AddEnvToUsage(flags *pflag.FlagSet) {
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name != "help" && !strings.Contains(f.Usage, EnvPrefix) {
			f.Usage += " (env " + EnvName(f.Name) + ")"
		}
	})
}

// EnvNames returns the names of the environment variables of all flags.
func EnvNames(sets ...*pflag.FlagSet) map[string]bool {
	names := map[string]bool{}
	for _, flags := range sets {
		flags.VisitAll(func(f *pflag.Flag) { names[EnvName(f.Name)] = true })
	}
	return names
}

// ReadEnvironment sets each flag that is not on the command line from its environment
// variable, if there is one. known has the variables of all commands; any other
// variable that begins with EnvPrefix is a fault. The error reports all faults.
func ReadEnvironment(flags *pflag.FlagSet, known map[string]bool) error {
	var problems Problems
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			problems = append(problems, fmt.Sprintf("environment variable %s: no flag has this name", name))
		}
	}
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(EnvName(f.Name))
		if !ok || f.Changed || f.Name == "help" {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			problems.Add(f.Name, "environment variable %s: %v", EnvName(f.Name), err)
		}
	})
	return problems.Err()
}

// Problems collects messages about faults of settings.
type Problems []string

// Add records a fault of a flag, given by its name without hyphens at the front.
func (p *Problems) Add(flag, format string, args ...any) {
	*p = append(*p, fmt.Sprintf("--%s: ", flag)+fmt.Sprintf(format, args...))
}

// RequireAddress records a fault if the flag's value is not IP:port.
func (p *Problems) RequireAddress(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(flag, "%q is not IP:port", value)
	}
}

// RequireNonEmpty records a fault if the flag's value is empty.
func (p *Problems) RequireNonEmpty(flag, value string) {
	if value == "" {
		p.Add(flag, "must be set")
	}
}

// Err returns an error with all faults, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.Newf("settings:\n  %s", strings.Join(p, "\n  "))
}
