package responsehead

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// maxInformational bounds the informational responses before the final one. http.Transport
// leaves that to the function that it calls for each of them.
const maxInformational = 64

var errInformational = errors.Newf("more than %d informational responses", maxInformational)

// Transport is an http.RoundTripper that returns only responses with a valid head. For any
// other response it returns an error and closes the connection.
type Transport struct {
	// Base sends the requests. Its connections carry one request at a time.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	informational := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return errInformational
			}
			return checkFields(http.Header(fields))
		},
	}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if _, err := Final(response); err != nil {
		_ = response.Body.Close()
		if conn != nil {
			// Without a body to read, it is kept for the next request by now.
			_ = conn.Close()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base, for http.Client.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
