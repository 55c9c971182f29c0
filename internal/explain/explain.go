// Package explain finds in instances' logs why a request was answered, refused or
// failed.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/turmericfield/turmericfield/internal/availability"
)

// maxLineBytes bounds a line of a log, in bytes.
const maxLineBytes = 1 << 20

// causes explains the reasons that instances log with their decisions: what each means
// and where to look next.
var causes = map[string]string{
	"no-configuration":    "the instance had no configuration yet: look at its start and at 'store: lost'",
	"no-route":            "no route of the version in force matches host and path: compare the version with the operator's",
	"body-too-large":      "the body is over the configuration's limit",
	"body-late":           "the caller had not sent the whole body at the request's deadline",
	"body-incomplete":     "the caller did not send the whole body",
	"keys-stale":          "the instance could not prove that keys are current: look at 'store: lost' and the age of the evidence",
	"configuration-stale": "the instance's configuration does not allow the request, but it could not prove that it is current: look at 'store: lost' and the age of the evidence",
	"homes-stale":         "the instance could not prove that the request's home regions are current: look at 'store: lost' and the age of the evidence",
	"one-key-needed":      "the request had no key, or more than one",
	"unknown-key":         "no workspace of the version in force holds the key: wrong, withdrawn, or not yet in force here",
	"quota":               "the workspace's rate and burst in the whole fleet are used up; look for 'hub: lost' if they should not be",
	"no-target":           "no registered target may run the request: look at 'targets: changed', 'zones: changed' and the route's homes",
	"unavailable":         "every target that may run the request leaves or pauses: the lines 'target: changed' above tell which, by what source and for how long; wait_ms is the time to the first end of a pause, 0 if all leave",
	"full":                "the target that knows the object had a queue too long for the objective, by its last report or by those of the region's other targets, and the targets that may run the request had no room to teach another; with yields_to_ms it left room there for requests of higher priority",
	"outranked":           "it waited here for room at its target, and requests of higher priority, or with less work, left it no time: waited_ms tells how long it waited",
	"ahead-of-its-turn":   "it was read ahead on its connection by a configuration that another has replaced, which does not let it run beside earlier requests: it was not run",
	"rejected":            "the targets asked said that they did not run it",
	"address-reused":      "another target had the address: the log names the one that was there before; look at 'targets: changed'",
	"unreachable":         "no connection to the targets tried",
	"withdrawn":           "key or target went between the decision and the send",
	"deadline":            "too little of the caller's time was left",
	"leaving":             "the instance was ending and could not have finished the request",
	"timeout":             "the target had not answered at the route's timeout; the request may have run",
	"broken-answer":       "the target's connection ended before a whole answer, or bytes came that are none; the request may have run",
	"unproven-answer":     "the answer had no proof or belonged to another request; the request may have run",
	"target-error":        "the target failed and no other try was allowed",
	"caller-left":         "the caller closed its connection",
}

// stateMessages are the log messages that report a change of the instance's state,
// such as a new configuration or a lost store. The last line of each before a request
// shows the state in which the instance decided.
var stateMessages = []string{
	"life: started", "configuration: in force", "configuration: cannot be read, the old one stays", "configuration: older than the one in force",
	"configuration: removed from the store, the old one stays", "targets: changed",
	"zones: changed", "instances: changed", "store: lost", "store: regained", "hub: lost", "hub: regained", "life: leaving",
}

// availabilityMessage is the log message that reports a change of one target's
// availability.
const availabilityMessage = "target: changed"

// logLine is one line of a log.
type logLine struct {
	instance string // the word before the JSON, or "" if there is none
	text     string // the JSON
	fields   map[string]any
}

// beliefs is the state of one instance up to a line of its log.
type beliefs struct {
	byMessage map[string]logLine // last line of each message
	byTarget  map[string]logLine // last change of each registered target that is not serving
}

// add takes one more line into account.
func (b *beliefs) add(l logLine) {
	message, _ := l.fields["message"].(string)
	if message != availabilityMessage {
		b.byMessage[message] = l
		ended, _ := l.fields["ended"].([]any)
		for _, id := range ended {
			if target, ok := id.(string); ok {
				delete(b.byTarget, target)
			}
		}
		return
	}
	target, _ := l.fields["target"].(string)
	if l.fields["to"] == string(availability.Serving) {
		delete(b.byTarget, target)
	} else {
		b.byTarget[target] = l
	}
}

// lines returns the lines that show the state before a line of a request: the last one of
// each state message and, if the request's service is known, the last change of each of
// its targets that is not serving.
func (b *beliefs) lines(request logLine) []logLine {
	var lines []logLine
	for _, message := range stateMessages {
		if l, ok := b.byMessage[message]; ok {
			lines = append(lines, l)
		}
	}
	for _, target := range slices.Sorted(maps.Keys(b.byTarget)) {
		if l := b.byTarget[target]; l.fields["service"] == request.fields["service"] {
			lines = append(lines, l)
		}
	}
	return lines
}

// Request writes what the log says about the request with the given id. For each
// instance that logged the request these are the instance's state before, marked
// "believed", the lines of the request, marked with their decision, and an explanation
// of each line's reason, marked "cause". It returns an error if no line has the id.
func Request(log io.Reader, id string, out io.Writer) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	believed := map[string]*beliefs{} // by instance
	stateWritten := map[string]bool{}
	found := false
	for scanner.Scan() {
		l, ok := parseLine(scanner.Text())
		if !ok {
			continue
		}
		if believed[l.instance] == nil {
			believed[l.instance] = &beliefs{map[string]logLine{}, map[string]logLine{}}
		}
		if l.fields["request"] != id {
			believed[l.instance].add(l)
			continue
		}
		found = true
		if !stateWritten[l.instance] {
			stateWritten[l.instance] = true
			for _, state := range believed[l.instance].lines(l) {
				_, _ = fmt.Fprintf(out, "believed  %s%s\n", instancePrefix(l.instance), state.text)
			}
		}
		_, _ = fmt.Fprintf(out, "%-9s %s%s\n", l.fields["decision"], instancePrefix(l.instance), l.text)
		if reason, ok := l.fields["reason"].(string); ok && causes[reason] != "" {
			_, _ = fmt.Fprintf(out, "cause     %s\n", causes[reason])
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "cannot read the log")
	}
	if !found {
		return errors.Newf("no line of the log names request %q; lines may have been dropped: look at log_lines_dropped", id)
	}
	return nil
}

// parseLine parses a line that holds a JSON object, possibly after other words, such
// as a time. The last of these words is the name of the instance. It returns false if
// the line does not end with a JSON object.
func parseLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{text: text[start:]}
	if prefixFields := strings.Fields(text[:start]); len(prefixFields) > 0 {
		l.instance = prefixFields[len(prefixFields)-1]
	}
	return l, json.Unmarshal([]byte(l.text), &l.fields) == nil
}

// instancePrefix returns what stands before the JSON in the output.
func instancePrefix(instance string) string {
	if instance == "" {
		return ""
	}
	return instance + " "
}
