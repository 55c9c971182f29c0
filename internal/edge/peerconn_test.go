package edge

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/turmericfield/turmericfield/api/fleetpb"
	"github.com/turmericfield/turmericfield/internal/traffic"
)

// fields returns an encoded block of header fields, given by name and value in turn.
func fields(t *testing.T, namesAndValues ...string) []byte {
	var b bytes.Buffer
	encoder := hpack.NewEncoder(&b)
	for pair := range slices.Chunk(namesAndValues, 2) {
		if err := encoder.WriteField(hpack.HeaderField{Name: pair[0], Value: pair[1]}); err != nil {
			t.Error(err)
		}
	}
	return b.Bytes()
}

// serveFrames answers calls by frames until the listener is closed.
func serveFrames(t *testing.T, l net.Listener, answer func(f *http2.Framer, stream uint32) error) {
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		framer := http2.NewFramer(c, c)
		if framer.WriteSettings() != nil {
			return
		}
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			if settings, ok := frame.(*http2.SettingsFrame); ok && !settings.IsAck() && framer.WriteSettingsAck() != nil {
				return
			}
			if frame.Header().Type == http2.FrameHeaders {
				if answer(framer, frame.Header().StreamID) != nil {
					return
				}
			}
		}
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// An answer of another instance counts only if it is whole and valid. The status of gRPC, in
// the trailer, must be used where there is one, whatever the status of HTTP is.
func TestBrokenAnswerOfANeighbourIsNone(t *testing.T) {
	t.Parallel()
	const statusName, typeName, grpcType = ":status", "content-type", "application/grpc"
	whole := []string{statusName, "200", typeName, grpcType}
	trailer := []string{"grpc-status", "0"}
	for name, c := range map[string]struct {
		head, trailer []string // the call is reset if there is no trailer
		valid         bool
	}{
		"whole":                     {whole, trailer, true},
		"status 000":                {[]string{statusName, "000", typeName, grpcType}, trailer, true},
		"status 000 alone":          {[]string{statusName, "000", typeName, grpcType}, []string{"foo", "x"}, false},
		"status 000 of no gRPC":     {[]string{statusName, "000"}, trailer, false},
		"two statuses":              {append([]string{statusName, "000"}, whole...), trailer, false},
		"blank in a name":           {append(slices.Clone(whole), "foo bar", "x"), trailer, false},
		"blank at the end":          {append(slices.Clone(whole), "foo ", "x"), trailer, false},
		"control byte":              {append(slices.Clone(whole), "foo\x01", "x"), trailer, false},
		"control byte in a value":   {append(slices.Clone(whole), "foo", "a\x00"), trailer, false},
		"blank in a trailer's name": {whole, append(slices.Clone(trailer), "foo bar", "x"), false},
		"trailer without status":    {whole, []string{"foo", "x"}, false},
		"reset":                     {whole, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go serveFrames(t, l, func(f *http2.Framer, stream uint32) error {
				err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: fields(t, c.head...), EndHeaders: true})
				if err == nil {
					err = f.WriteData(stream, false, make([]byte, 5)) // an empty message
				}
				if err == nil && c.trailer == nil {
					return f.WriteRSTStream(stream, http2.ErrCodeNo)
				}
				if err == nil {
					err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: fields(t, c.trailer...), EndHeaders: true, EndStream: true})
				}
				return err
			})
			var p peerConn
			defer p.close()
			client, err := p.client(l.Addr().String(), time.Second, &traffic.Meter{})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := client.Follow(ctx, &fleetpb.FollowRequest{}); (err == nil) != c.valid || ctx.Err() != nil {
				t.Errorf("got %v", err)
			}
		})
	}
}
