// Package hopbyhop tells the headers of a message from those of a connection.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders lists the headers that belong to one connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Copy copies a header without what belongs to one connection. The values are
// shared.
func Copy(to, from http.Header) {
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
