// Package scripts tests the turmericfield command as its users run it. Each script in
// testdata is a test that starts real processes, which talk over loopback addresses,
// and checks output, exit codes and HTTP answers.
package scripts

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/turmericfield/turmericfield/internal/command"
)

const (
	pollInterval = 50 * time.Millisecond
	maxPolls     = 600              // 30 s, because a busy machine may be slow
	rawTimeout   = 20 * time.Second // for connecting, and for the whole exchange
)

// TestMain makes this test binary the turmericfield command of the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"turmericfield":   func() { os.Exit(command.Main()) },
		peakMemoryCommand: runWithPeakMemory,
	})
}

// TestScripts runs the scripts in testdata with the commands below besides those of
// testscript. $NET is the first three numbers of the IP addresses that a script may
// use.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"http":       httpCommand,
			"eventually": eventually,
			"capture":    capture,
			"expand":     expand,
			"exits":      exits,
			"pad":        pad,
			"raw":        sendRaw,
		},
		Setup: func(env *testscript.Env) error {
			env.Setenv("NET", loopbackNetwork())
			return nil
		},
	})
}

// networkCount counts the networks that this process has tried.
var networkCount atomic.Int64

// loopbackNetwork returns the first three numbers of a loopback network that no other
// script uses, in this process or another. It reserves the network by listening on
// its address 254 until the process ends.
func loopbackNetwork() string {
	for {
		n := int64(os.Getpid()) + 257*networkCount.Add(1)
		prefix := fmt.Sprintf("127.%d.%d", 1+n%200, n/200%256)
		listener, err := net.Listen("tcp", prefix+".254:17000")
		if err == nil {
			reservationsMu.Lock()
			reservations = append(reservations, listener)
			reservationsMu.Unlock()
			return prefix
		}
	}
}

// reservations are the listeners that reserve networks.
var (
	reservationsMu sync.Mutex
	reservations   []net.Listener
)

// expand is "expand FILE...": it replaces $NET in files.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, file := range args {
		text := strings.ReplaceAll(ts.ReadFile(file), "$NET", ts.Getenv("NET"))
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// exits is "exits CODE COMMAND...": the command must end with this exit code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		ts.Fatalf("%s: %v", strings.Join(args[1:], " "), err)
	}
	code := 0
	if exit != nil {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("%s: exit code %d, want %s", strings.Join(args[1:], " "), code, args[0])
	}
}

// pad is "pad FILE COUNT": it replaces $PAD in a file by COUNT letters x.
func pad(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: pad FILE COUNT")
	}
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	text := strings.ReplaceAll(ts.ReadFile(args[0]), "$PAD", strings.Repeat("x", count))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// sendRaw is "raw ADDRESS FILE": it sends a file over TCP with CRLF line ends, closes
// its side of the connection, and writes the answer to the file http.txt. The file
// need not be valid HTTP.
func sendRaw(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: raw ADDRESS FILE")
	}
	conn, err := net.DialTimeout("tcp", args[0], rawTimeout)
	ts.Check(err)
	defer conn.Close()
	ts.Check(conn.SetDeadline(time.Now().Add(rawTimeout)))
	// A server that refuses a request may stop reading it.
	_, _ = io.WriteString(conn, strings.ReplaceAll(ts.ReadFile(args[1]), "\n", "\r\n"))
	ts.Check(conn.(*net.TCPConn).CloseWrite())
	answer, _ := io.ReadAll(conn)
	ts.Check(os.WriteFile(ts.MkAbs("http.txt"), answer, 0o600))
}

// httpCommand is "http METHOD URL [Header=value ...]": it sends a request and writes
// status, headers and body of the answer to the file http.txt. The value of the
// pseudo-header @body is the request's body. With "!", the request must get no whole
// answer.
func httpCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [Header=value ...]")
	}
	text, err := sendRequest(args)
	if neg != (err != nil) {
		ts.Fatalf("http %s: %v", strings.Join(args, " "), err)
	}
	ts.Check(os.WriteFile(ts.MkAbs("http.txt"), []byte(text), 0o600))
}

// sendRequest sends a request as httpCommand describes and returns the answer.
func sendRequest(args []string) (string, error) {
	r, err := http.NewRequest(args[0], args[1], nil)
	if err != nil {
		return "", err
	}
	for _, h := range args[2:] {
		name, value, _ := strings.Cut(h, "=")
		if name == "@body" {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(value)), int64(len(value))
			continue
		}
		r.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: 10 * time.Second}).Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var header strings.Builder
	_ = response.Header.Write(&header)
	return fmt.Sprintf("status %d\n%s\n%s", response.StatusCode, header.String(), body), err
}

// eventually is "eventually PATTERN COMMAND...": it repeats a program such as
// turmericfield, or the command http, until the output matches the regular
// expression.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually PATTERN COMMAND...")
	}
	var output string
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for range maxPolls {
		output = runOnce(ts, args[1:])
		if pattern.MatchString(output) {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("no output matched %q within the time limit; last output:\n%s", args[0], output)
}

// runOnce runs a command of eventually once and returns its output or error.
func runOnce(ts *testscript.TestScript, args []string) string {
	if args[0] == "http" {
		text, err := sendRequest(args[1:])
		if err != nil {
			return err.Error()
		}
		return text
	}
	// The command may fail until what is waited for has happened.
	_ = ts.Exec(args[0], args[1:]...)
	return ts.ReadFile("stdout") + ts.ReadFile("stderr")
}

// capture is "capture VARIABLE LINE WORD": it stores a word of the last command's
// standard output in an environment variable. LINE and WORD count from 1.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: capture VARIABLE LINE WORD")
	}
	line, err := strconv.Atoi(args[1])
	ts.Check(err)
	word, err := strconv.Atoi(args[2])
	ts.Check(err)
	lines := strings.Split(ts.ReadFile("stdout"), "\n")
	if line > len(lines) || word > len(strings.Fields(lines[line-1])) {
		ts.Fatalf("no word %d on line %d of:\n%s", word, line, strings.Join(lines, "\n"))
	}
	ts.Setenv(args[0], strings.Fields(lines[line-1])[word-1])
}
