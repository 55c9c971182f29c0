package command

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/settings"
)

// validationResult is the JSON output of the command validate.
type validationResult struct {
	File       string          `json:"file"`
	Valid      bool            `json:"valid"`
	Services   int             `json:"services"`
	Routes     int             `json:"routes"`
	Workspaces int             `json:"workspaces"`
	Findings   config.Findings `json:"findings,omitempty"`
}

// newValidate returns the command that checks a configuration file without calling
// an instance.
func newValidate() *cobra.Command {
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file and report every finding",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var p settings.Problems
			f.checkOutput(&p)
			if err := p.Err(); err != nil {
				return errors.Mark(err, errUsage)
			}
			return validate(cmd.OutOrStdout(), f, args[0])
		},
	}
	f.registerOutput(cmd)
	return cmd
}

// validate checks a configuration file, prints the result and returns the findings
// as an error.
func validate(w io.Writer, f clientFlags, file string) error {
	result := validationResult{File: file}
	c, err := readConfiguration(file)
	if err != nil && !errors.As(err, &result.Findings) {
		return err
	}
	if c != nil {
		result.Valid = true
		result.Services, result.Routes, result.Workspaces = len(c.Services), len(c.Routes), len(c.Workspaces)
	}
	return errors.CombineErrors(err, f.print(w, result, func(w io.Writer) {
		if result.Valid {
			fmt.Fprintf(w, "%s: valid: %d services, %d routes, %d workspaces\n", file, result.Services, result.Routes, result.Workspaces)
		}
	}))
}

// readDocument reads and validates a configuration file in YAML.
func readDocument(name string) (*config.Document, error) {
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	return config.Parse(name, text)
}

// readFile reads a configuration file. Of a file that is too large it reads one byte
// more than allowed, so that config.Parse reports the size.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var text bytes.Buffer
	if info, err := file.Stat(); err == nil {
		text.Grow(int(min(info.Size(), config.MaxFileBytes)) + bytes.MinRead)
	}
	_, err = text.ReadFrom(io.LimitReader(file, config.MaxFileBytes+1))
	return text.Bytes(), err
}
