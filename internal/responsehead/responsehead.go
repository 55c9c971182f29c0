// Package responsehead judges the head of a response, beyond what net/http checks: that
// accepts each status of three characters that make a number, all versions of HTTP, and
// blanks in the names of fields. A response that is no valid HTTP must not be passed on, since
// the caller's library would fail or take it for something else, and nothing is known of where
// it ends: a field that decides that may be the one that can't be read.
package responsehead

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
)

var (
	errVersion = errors.New("response in another version of HTTP")
	errStatus  = errors.New("response with a status that is none")
	errField   = errors.New("response with a field whose name is none")
	// errSwitchedProtocols is returned for status 101: no request asks for another
	// protocol, as Upgrade headers are not forwarded.
	errSwitchedProtocols = errors.New("response that switches to another protocol")
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
	return r.StatusCode >= http.StatusOK, checkFields(r.Header)
}

// HasDetectableEnd reports whether a truncated response can be recognized by its reader: the
// response has a length, is chunked, or has no body at all. The end of any other is only the
// end of its connection, which looks the same after a reset that the kernel has reported to a
// write of the request. A response that switches protocols has no end either.
func HasDetectableEnd(r *http.Response) bool {
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead {
		return r.StatusCode != http.StatusSwitchingProtocols
	}
	return r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

// checkFields returns an error if the name of a field is not valid.
func checkFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(errField, "%q", name)
		}
	}
	return nil
}
