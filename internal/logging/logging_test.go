package logging

import (
	"bytes"
	"sync"
	"testing"
)

// TestLinesOfManyPartsArriveWhole logs from several goroutines at once. Each line
// must be written whole or be counted as dropped. With the race detector it also
// checks that a logger does not change a line that is still to be written.
func TestLinesOfManyPartsArriveWhole(t *testing.T) {
	const parts, lines = 8, 500
	var out bytes.Buffer
	l := New(&out, "info")
	var wg sync.WaitGroup
	for range parts {
		wg.Go(func() {
			logger := l.Part("test")
			for i := range lines {
				logger.Info().Int("line", i).Msg("test: wrote a line")
			}
		})
	}
	wg.Wait()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	written := bytes.Count(out.Bytes(), []byte("\"message\":\"test: wrote a line\"}\n"))
	if written+int(l.Dropped()) != parts*lines {
		t.Fatalf("%d lines written and %d dropped of %d", written, l.Dropped(), parts*lines)
	}
}

// blockedWriter blocks in every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

// TestFullBufferDropsAndCounts logs more lines than the buffer holds while the writer
// blocks. The lines beyond the buffer must be dropped and counted, without blocking
// the logger.
func TestFullBufferDropsAndCounts(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	l := New(blocked, "info")
	logger := l.Part("test")
	const extra = 10
	for range bufferLines + 1 + extra { // the writer may hold one line besides the buffered ones
		logger.Info().Msg("test: wrote a line")
	}
	if d := l.Dropped(); d < extra || d > extra+1 {
		t.Errorf("%d lines dropped, want %d or one more", d, extra)
	}
	close(blocked.release)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestLinesAfterCloseAreDropped checks that a log can be closed twice and then drops
// and counts what is logged.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info")
	for range 2 {
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	l.Part("test").Info().Msg("test: wrote a line")
	if out.Len() > 0 || l.Dropped() != 1 {
		t.Fatalf("after Close: %q written, %d lines dropped, want none written and 1 dropped", out.String(), l.Dropped())
	}
}
