package logging

import (
	"bytes"
	"sync"
	"testing"
)

// TestLinesOfManyPartsArriveWhole writes from several goroutines; the race
// detector watches that a line is not touched after it was handed over.
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

// blockedWriter does not return from a write before it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

func TestFullBufferDropsAndCounts(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	l := New(blocked, "info")
	logger := l.Part("test")
	const extra = 10
	for range bufferLines + 1 + extra { // one line may be with the writer
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
		t.Fatalf("%q written, %d dropped", out.String(), l.Dropped())
	}
}
