// Package hopbyhop separates hop-by-hop HTTP headers, which apply to one
// connection and which a proxy must not forward, from end-to-end headers.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders lists the hop-by-hop headers that need not be named in a
// Connection header.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd copies the end-to-end headers from one header to another; hop-by-hop
// headers, including those named in from's Connection header, are also deleted
// from to. The slices of values are shared, not copied.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, field := range from["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
