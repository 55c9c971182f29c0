package notice

import (
	"math"
	"math/big"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/turmericfield/turmericfield/internal/availability"
)

const (
	leavingHeader = "Leaving"

	sentDate  = "Sat, 05 Dec 2026 00:00:00 GMT"
	laterDate = "Sat, 05 Dec 2026 00:00:07 GMT"
)

func TestNoticeOfATargetsResponse(t *testing.T) {
	pause := func(d time.Duration) availability.Notice { return availability.Notice{Pause: d} }
	leaving := availability.Notice{Leaving: true}
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   availability.Notice
	}{
		"whole seconds":                 {503, http.Header{"Retry-After": {"2"}}, pause(2 * time.Second)},
		"leading zeros":                 {503, http.Header{"Retry-After": {"002"}}, pause(2 * time.Second)},
		"fraction":                      {503, http.Header{"Retry-After": {"0.25"}}, pause(250 * time.Millisecond)},
		"without the mark":              {503, http.Header{"Retry-After": {"1"}}, pause(time.Second)},
		"with the mark":                 {503, http.Header{"Retry-After": {"1"}, "Not-Run": {"1"}}, pause(time.Second)},
		"as long as allowed":            {503, http.Header{"Retry-After": {"300"}}, pause(MaxPause)},
		"longer":                        {503, http.Header{"Retry-After": {"300.001"}}, pause(MaxPause)},
		"huge":                          {503, http.Header{"Retry-After": {strings.Repeat("9", 400)}}, pause(MaxPause)},
		"below a nanosecond":            {503, http.Header{"Retry-After": {"0." + strings.Repeat("0", 400) + "1"}}, pause(0)},
		"zero":                          {503, http.Header{"Retry-After": {"0"}}, pause(0)},
		"zero with a fraction":          {503, http.Header{"Retry-After": {"0.0"}}, pause(0)},
		"negative":                      {503, http.Header{"Retry-After": {"-1"}}, pause(0)},
		"negative zero":                 {503, http.Header{"Retry-After": {"-0"}}, pause(0)},
		"plus sign":                     {503, http.Header{"Retry-After": {"+1"}}, pause(0)},
		"not a number":                  {503, http.Header{"Retry-After": {"NaN"}}, pause(0)},
		"infinite":                      {503, http.Header{"Retry-After": {"Inf"}}, pause(0)},
		"infinity":                      {503, http.Header{"Retry-After": {"Infinity"}}, pause(0)},
		"exponent":                      {503, http.Header{"Retry-After": {"1e1"}}, pause(0)},
		"hexadecimal":                   {503, http.Header{"Retry-After": {"0x10"}}, pause(0)},
		"hexadecimal float":             {503, http.Header{"Retry-After": {"0x1p4"}}, pause(0)},
		"underscore":                    {503, http.Header{"Retry-After": {"1_0"}}, pause(0)},
		"nothing before the point":      {503, http.Header{"Retry-After": {".5"}}, pause(0)},
		"nothing after the point":       {503, http.Header{"Retry-After": {"5."}}, pause(0)},
		"two points":                    {503, http.Header{"Retry-After": {"1.2.3"}}, pause(0)},
		"other digits":                  {503, http.Header{"Retry-After": {"٣"}}, pause(0)},
		"a unit":                        {503, http.Header{"Retry-After": {"3s"}}, pause(0)},
		"a list":                        {503, http.Header{"Retry-After": {"1, 2"}}, pause(0)},
		"empty":                         {503, http.Header{"Retry-After": {""}}, pause(0)},
		"absent":                        {503, http.Header{}, pause(0)},
		"several headers":               {503, http.Header{"Retry-After": {"1", "3", "2"}}, pause(3 * time.Second)},
		"several headers, one readable": {503, http.Header{"Retry-After": {"soon", "1", "-4"}}, pause(time.Second)},
		"date":                          {503, http.Header{"Retry-After": {laterDate}, "Date": {sentDate}}, pause(7 * time.Second)},
		"date in an obsolete form":      {503, http.Header{"Retry-After": {"Saturday, 05-Dec-26 00:00:07 GMT"}, "Date": {sentDate}}, pause(7 * time.Second)},
		"date in the past":              {503, http.Header{"Retry-After": {sentDate}, "Date": {laterDate}}, pause(0)},
		"date far away":                 {503, http.Header{"Retry-After": {"Fri, 31 Dec 9999 23:59:59 GMT"}, "Date": {sentDate}}, pause(MaxPause)},
		"date without the response's":   {503, http.Header{"Retry-After": {laterDate}}, pause(0)},
		"date beside a bad one":         {503, http.Header{"Retry-After": {laterDate}, "Date": {"today"}}, pause(0)},
		"date beside two":               {503, http.Header{"Retry-After": {laterDate}, "Date": {sentDate, laterDate}}, pause(0)},
		"200":                           {200, http.Header{"Retry-After": {"2"}}, pause(0)},
		"301":                           {301, http.Header{"Retry-After": {"2"}}, pause(0)},
		"429":                           {429, http.Header{"Retry-After": {"2"}, "Not-Run": {"1"}}, pause(0)},
		"500":                           {500, http.Header{"Retry-After": {"2"}}, pause(0)},
		"421":                           {421, http.Header{"Retry-After": {"2"}, "Leaving": {"1"}}, pause(0)},

		"leaving, 200":               {200, http.Header{"Leaving": {"1"}}, leaving},
		"leaving, 404":               {404, http.Header{"Leaving": {"1"}}, leaving},
		"leaving, 500":               {500, http.Header{"Leaving": {"1"}}, leaving},
		"leaving, with a pause":      {503, http.Header{"Leaving": {"1"}, "Retry-After": {"2"}}, availability.Notice{Leaving: true, Pause: 2 * time.Second}},
		"leaving, repeated":          {200, http.Header{"Leaving": {"1", "1"}}, leaving},
		"leaving, one of two":        {200, http.Header{"Leaving": {"0", "1"}}, leaving},
		"leaving, 0":                 {200, http.Header{"Leaving": {"0"}}, pause(0)},
		"leaving, true":              {200, http.Header{"Leaving": {"true"}}, pause(0)},
		"leaving, 01":                {200, http.Header{"Leaving": {"01"}}, pause(0)},
		"leaving, a list":            {200, http.Header{"Leaving": {"1, 1"}}, pause(0)},
		"leaving, empty":             {200, http.Header{"Leaving": {""}}, pause(0)},
		"leaving, by another name":   {200, http.Header{"Leaving-Not": {"1"}}, pause(0)},
		"leaving, 421 with the mark": {421, http.Header{"Leaving": {"1"}, "Not-Run": {"1"}}, pause(0)},
	} {
		if got := Parse(c.status, c.header, leavingHeader); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// A pause must be the number of seconds if the header is one, and never negative or
// beyond its bound.
func FuzzNotice(f *testing.F) {
	for _, value := range []string{"2", "0.25", "-1", "NaN", "Inf", "1e3", "0x1p4", "1_0", "", laterDate, strings.Repeat("9", 400), "300.0000000001", "1, 2"} {
		for _, status := range []int{200, 421, 429, 503} {
			f.Add(status, value, "3", sentDate, "1")
			f.Add(status, value, value, value, value)
		}
	}
	decimal := regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)
	f.Fuzz(func(t *testing.T, status int, retryAfter, another, date, leaving string) {
		parse := func(values ...string) availability.Notice {
			return Parse(status, http.Header{"Retry-After": values, "Date": {date}, "Leaving": {leaving}}, leavingHeader)
		}
		got := parse(retryAfter)
		if got.Pause < 0 || got.Pause > MaxPause || got.Pause != 0 && status != 503 {
			t.Errorf("status %d, %q: pause %v", status, retryAfter, got.Pause)
		}
		if want := leaving == "1" && status != 421; got.Leaving != want {
			t.Errorf("status %d, %q: leaving %v", status, leaving, got.Leaving)
		}
		if both := parse(retryAfter, another); both.Pause != max(got.Pause, parse(another).Pause) {
			t.Errorf("%q and %q: pause %v", retryAfter, another, both.Pause)
		}
		if status != 503 {
			return
		}
		if decimal.MatchString(retryAfter) {
			seconds, _, err := big.ParseFloat(retryAfter, 10, 200, big.ToNearestEven)
			if err != nil {
				t.Fatal(err)
			}
			want, _ := seconds.Float64()
			if math.Abs(got.Pause.Seconds()-min(want, MaxPause.Seconds())) > 1e-6 {
				t.Errorf("%q: pause %v", retryAfter, got.Pause)
			}
		} else if _, err := http.ParseTime(retryAfter); err != nil && got.Pause != 0 {
			t.Errorf("%q: pause %v", retryAfter, got.Pause)
		}
	})
}
