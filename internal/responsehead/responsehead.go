// Package responsehead judges the head of a target's response, beyond what net/http
// checks: that accepts each status of three characters that make a number, and all
// versions of HTTP. A response that is no valid HTTP must not be passed on, since the
// caller's library would fail or take it for something else, and nothing is known of where
// it ends.
package responsehead

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	minStatus = 100
	maxStatus = 599
)

var (
	errVersion = errors.New("target responded in another version of HTTP")
	errStatus  = errors.New("target responded with a status that is none")
	// errSwitchedProtocols is returned for status 101: no request asks for another
	// protocol, as Upgrade headers are not forwarded.
	errSwitchedProtocols = errors.New("target switched to another protocol")
)

// Final reports whether a response that net/http has read is the final one of its
// request, and not an informational one that precedes it. The error is set if it is no
// valid response. Its connection must then be closed, and its body not be read.
func Final(r *http.Response) (bool, error) {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor > 1:
		return false, errors.Wrapf(errVersion, "%q", r.Proto)
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return false, errors.Wrapf(errStatus, "%q", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return false, errSwitchedProtocols
	}
	return r.StatusCode >= http.StatusOK, nil
}
