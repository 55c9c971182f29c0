// Package notice parses what the head of a target's response says about the requests
// that the target wants from the instance.
package notice

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

const (
	// MaxPause bounds the pause that a target asks for. A longer one is likely a
	// mistake, and a target that still wants no requests asks for another.
	MaxPause = 5 * time.Minute
	// leavingValue is the only value of the header of a leaving target that counts.
	// Any other, such as "0", would take the target out of use until it restarts.
	leavingValue = "1"
)

// Parse returns what the head of a final response says. leavingHeader is the name of
// the header that announces that the target shuts down. The response must be known to
// answer the request.
func Parse(status int, h http.Header, leavingHeader string) availability.Notice {
	if status == http.StatusMisdirectedRequest {
		return availability.Notice{} // said by another process that has the target's address
	}
	n := availability.Notice{Leaving: slices.Contains(h.Values(leavingHeader), leavingValue)}
	if status == http.StatusServiceUnavailable {
		for _, value := range h.Values("Retry-After") {
			n.Pause = max(n.Pause, parsePause(value, h.Values("Date")))
		}
	}
	return n
}

// parsePause returns the pause that one Retry-After header asks for, between 0 and
// MaxPause: decimal seconds, or a date from which the response's own date is
// subtracted, as the clocks of target and instance may differ. It returns 0 for
// anything else.
func parsePause(value string, responseDates []string) time.Duration {
	if isDecimal(value) {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds > MaxPause.Seconds() { // the error can only be an overflow
			return MaxPause
		}
		return time.Duration(seconds * float64(time.Second))
	}
	end, err := http.ParseTime(value)
	if err != nil || len(responseDates) != 1 {
		return 0
	}
	sent, err := http.ParseTime(responseDates[0])
	if err != nil {
		return 0
	}
	return min(max(end.Sub(sent), 0), MaxPause)
}

// isDecimal reports whether s consists of digits, which may be followed by a point and
// more digits.
func isDecimal(s string) bool {
	whole, fraction, hasPoint := strings.Cut(s, ".")
	return isDigits(whole) && (!hasPoint || isDigits(fraction))
}

// isDigits reports whether s consists of one or more ASCII digits.
func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}
