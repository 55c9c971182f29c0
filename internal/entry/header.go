package entry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyRequestHeader copies a caller's header without hop-by-hop headers and
// without the workspace's key.
func copyRequestHeader(to, from http.Header) {
	copyHeader(to, from)
	to.Del(KeyHeader)
	to.Del(OutcomeHeader)
}

// copyResponseHeader copies a target's header without hop-by-hop headers.
func copyResponseHeader(to, from http.Header) {
	copyHeader(to, from)
	to.Del(OutcomeHeader)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, field := range from["Connection"] {
		for _, name := range strings.Split(field, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}
