package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/turmericfield/turmericfield/internal/config"
	"github.com/turmericfield/turmericfield/internal/configcheck"
	"github.com/turmericfield/turmericfield/internal/settings"
	"github.com/turmericfield/turmericfield/platform"
)

// Forms of a configuration file.
const (
	formDocument = "document" // YAML, for instances that run as "serve"
	formAccepted = "accepted" // JSON, as the platform's store keeps it
)

// Exit codes of "config check". They differ from those of other commands.
const (
	exitWarnings = 1
	exitErrors   = 2 // also of wrong usage, and if no check could be made
)

// comparisonMemory is Go's soft memory limit in bytes while two configurations of the
// accepted form are compared, so that two large ones need little more than one. Above it
// garbage is collected more often.
const comparisonMemory = 240 << 20

// checkError is the error of a check whose exit code is not exitOK.
type checkError struct {
	code  int
	cause error
}

func (e *checkError) Error() string { return e.cause.Error() }
func (e *checkError) Unwrap() error { return e.cause }

// loadedConfiguration is a valid configuration and what it was read from.
type loadedConfiguration struct {
	*configcheck.Configuration
	file string
	form string
	text []byte
}

// place sets the file and the lines of findings on the configuration.
func (c *loadedConfiguration) place(findings config.Findings) config.Findings {
	switch {
	case c.text == nil:
		for i := range findings {
			findings[i].File = c.file
		}
	case c.form == formAccepted:
		config.SetJSONPlaces(c.file, c.text, findings)
	default:
		config.SetYAMLPlaces(c.file, c.text, findings)
	}
	return findings
}

// readConfiguration reads and validates a configuration file of either form. The error
// of a file with errors is of type config.Findings.
func readConfiguration(name string) (*loadedConfiguration, error) {
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	return parseConfiguration(name, text)
}

// parseConfiguration parses and validates the text of a configuration file. The form is
// told by the content. The error is of type config.Findings.
func parseConfiguration(name string, text []byte) (*loadedConfiguration, error) {
	var err error
	c := &loadedConfiguration{file: name, form: formDocument, text: text}
	if len(text) <= config.MaxFileBytes && platform.IsConfiguration(text) {
		c.form = formAccepted
		c.Configuration, err = platform.ParseConfiguration(name, text)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	doc, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	c.Configuration = configcheck.FromDocument(0, doc)
	return c, nil
}

// readInForce reads the accepted configuration from the operators' API.
func readInForce(ctx context.Context, f *clientFlags) (*loadedConfiguration, error) {
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	accepted, err := client.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	return &loadedConfiguration{
		Configuration: configcheck.FromDocument(accepted.Version, accepted.Document),
		file:          fmt.Sprintf("version %d in force", accepted.Version), form: formDocument,
	}, nil
}

// newConfig returns the group of commands about configuration files.
func newConfig() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Work with a configuration file"}
	cmd.AddCommand(newConfigCheck())
	return cmd
}

// checkFlags are the flags of "config check".
type checkFlags struct {
	clientFlags
	against  string // file to compare with
	inForce  bool   // whether to compare with the accepted configuration
	nodeFile string // settings file of an instance
}

// newConfigCheck returns the command that checks a configuration before it is sent.
func newConfigCheck() *cobra.Command {
	var f checkFlags
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report errors, entries without effect, contradictions and differences of a configuration",
		Long: `Reports errors; entries that can never match; limits that contradict each other;
and, with --against or --in-force, what differs, by what callers will notice.

Exit codes:
  0  nothing was found, or only differences
  1  warnings
  2  errors, bad usage, or no check could be made`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			err := f.check(cmd.Context(), cmd.OutOrStdout(), args[0])
			var known *checkError
			if err != nil && !errors.As(err, &known) {
				return &checkError{code: exitErrors, cause: err}
			}
			return err
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&f.against, "against", "", "file of the same form to compare with")
	cmd.Flags().BoolVar(&f.inForce, "in-force", false, "compare with the accepted configuration, from the operators' API")
	cmd.Flags().StringVar(&f.nodeFile, "node-file", "", "settings file of an instance, for its memory and the platform's bounds; usual bounds and no memory if empty")
	return cmd
}

// checkResult is the output of "config check".
type checkResult struct {
	File        string          `json:"file"`
	Against     string          `json:"against,omitempty"`
	Errors      int             `json:"errors"`
	Warnings    int             `json:"warnings"`
	Differences int             `json:"differences"`
	Findings    config.Findings `json:"findings"`
}

// check makes the check and prints its result.
func (f *checkFlags) check(ctx context.Context, w io.Writer, file string) error {
	var p settings.Problems
	f.checkOutput(&p)
	if f.against != "" && f.inForce {
		p.Add("against", "excludes --in-force")
	}
	if err := p.Err(); err != nil {
		return err
	}
	on, err := platform.CheckedInstance(f.nodeFile)
	if err != nil {
		return err
	}
	result := checkResult{File: file, Findings: config.Findings{}}
	err = f.find(ctx, &result, on)
	var faults config.Findings
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	result.Findings = append(result.Findings, faults...)
	for _, finding := range result.Findings {
		switch finding.Severity {
		case config.SeverityWarning:
			result.Warnings++
		case config.SeverityDifference:
			result.Differences++
		default:
			result.Errors++
		}
	}
	if err := f.print(w, result, result.writeText); err != nil {
		return err
	}
	switch {
	case result.Errors > 0:
		return &checkError{code: exitErrors, cause: errors.Newf("%s: %d errors", file, result.Errors)}
	case result.Warnings > 0:
		return &checkError{code: exitWarnings, cause: errors.Newf("%s: %d warnings", file, result.Warnings)}
	}
	return nil
}

// find adds the warnings and differences of a file to the result. Its error is of type
// config.Findings if a file has errors.
func (f *checkFlags) find(ctx context.Context, result *checkResult, on configcheck.Instance) error {
	c, err := readConfiguration(result.File)
	if err != nil {
		return err
	}
	if c.form == formAccepted && f.inForce {
		return errors.Newf("%s: the operators' API has no configuration of the accepted form: use --against with a copy of the one in the store", result.File)
	}
	result.Findings = append(result.Findings, c.place(configcheck.Check(c.Configuration, on))...)
	var old *loadedConfiguration
	switch {
	case f.inForce:
		old, err = readInForce(ctx, &f.clientFlags)
	case f.against != "":
		if c.form == formAccepted {
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(comparisonMemory))
		}
		old, err = readConfiguration(f.against)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	if old.form != c.form {
		return errors.Newf("%s has the form %q and %s the form %q: they cannot be compared", c.file, c.form, old.file, old.form)
	}
	result.Against = old.file
	inOld, inNew := configcheck.Compare(old.Configuration, c.Configuration)
	differences := append(old.place(inOld), c.place(inNew)...)
	configcheck.SortDifferences(differences)
	result.Findings = append(result.Findings, differences...)
	return nil
}

// writeText writes the result for people: a line for each finding, and a heading above
// each group of differences.
func (r checkResult) writeText(w io.Writer) {
	text := bufio.NewWriter(w)
	group := ""
	for _, finding := range r.Findings {
		if finding.Group != group {
			group = finding.Group
			fmt.Fprintf(text, "%s:\n", group)
		}
		indent := ""
		if group != "" {
			indent = "  "
		}
		fmt.Fprintf(text, "%s%s %s: %s\n", indent, finding.Severity, finding.Name, finding)
	}
	fmt.Fprintf(text, "%s: %d errors, %d warnings, %d differences\n", r.File, r.Errors, r.Warnings, r.Differences)
	_ = text.Flush()
}
