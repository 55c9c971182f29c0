package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Answers to HEAD, and those of status 204 and 304, have no body whatever their length says.
// They must be passed on whole, and what a target sends behind one must reach nobody.
func TestAnswersWithoutBodyArePassedOn(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		method, head string
		status       int
		length       string // Content-Length that the caller gets
	}{
		"HEAD":                {http.MethodHead, "200 OK\r\nContent-Length: 12\r\n", 200, "12"},
		"HEAD without length": {http.MethodHead, "200 OK\r\n", 200, ""},
		"HEAD in chunks":      {http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked\r\n", 200, ""},
		"HEAD, long":          {http.MethodHead, fmt.Sprintf("200 OK\r\nContent-Length: %d\r\n", 4*maxBufferedResponse), 200, fmt.Sprint(4 * maxBufferedResponse)},
		"204":                 {http.MethodGet, "204 X\r\n", 204, ""},
		"304":                 {http.MethodGet, "304 X\r\nETag: \"e\"\r\n", 304, ""},
		"304 with length":     {http.MethodGet, "304 X\r\nContent-Length: 12\r\n", 304, ""},
	} {
		for _, behind := range []string{"", "twelve bytes", success("a", "not yours"), success("b", "not yours")} {
			t.Run(fmt.Sprintf("%s/%d bytes behind", name, len(behind)), func(t *testing.T) {
				t.Parallel()
				call := newCaller(t, newRawTarget(t, func(conn *net.TCPConn, r received) bool {
					if r.id == "a" {
						return write(conn, "HTTP/1.1 "+c.head+"Id: a\r\nProof: p\r\n\r\n"+behind)
					}
					return write(conn, success(r.id, "own"))
				}))
				r, err := http.NewRequest(c.method, "http://"+call.address+"/once/1", nil)
				if err != nil {
					t.Fatal(err)
				}
				r.Host = "h"
				r.Header.Set(testHeaders.RequestID, "a")
				response, err := call.client.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if response.StatusCode != c.status || c.length != "" && response.Header.Get("Content-Length") != c.length {
					t.Errorf("got %d with length %q, want %d with %q", response.StatusCode, response.Header.Get("Content-Length"), c.status, c.length)
				}
				for _, id := range []string{"b", "c"} {
					if status, body, err := call.do(http.MethodPost, "/once/1", id); status != 200 || body != "own" || err != nil {
						t.Errorf("request %s got %d %q, %v", id, status, body, err)
					}
				}
			})
		}
	}
}
