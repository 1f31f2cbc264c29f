package gwforward

import (
	"net/http"
	"strconv"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// DispatcherReport is what the dispatcher of a server says about it with an answer or a refusal.
type DispatcherReport struct {
	// At is when the report arrived.
	At time.Time
	// Wait is how long a further request would wait for a slot.
	Wait time.Duration
	// Served is the time from the sending of this request to the server to the head of its answer. It is zero when the
	// request was refused.
	Served time.Duration
}

// EncodeReport adds a report to the headers of an answer or refusal to an entry host.
func EncodeReport(h http.Header, report DispatcherReport) {
	setHeader(h, gw.HeaderWait, itoa(report.Wait.Milliseconds()))
	if report.Served > 0 {
		setHeader(h, gw.HeaderServed, itoa(max(report.Served.Milliseconds(), 1)))
	}
}

// decodeReport returns the report in the headers of a relay's answer, nil when there is none or it is not plausible.
func decodeReport(h http.Header, now time.Time) *DispatcherReport {
	wait, ok := reportedTime(h, gw.HeaderWait)
	if !ok {
		return nil
	}
	// Without a plausible service time, the wait is still known.
	served, _ := reportedTime(h, gw.HeaderServed)
	return &DispatcherReport{At: now, Wait: wait, Served: served}
}

func reportedTime(h http.Header, name string) (time.Duration, bool) {
	value, ok := SingleValue(h, name)
	n, err := strconv.ParseInt(value, 10, 64)
	if !ok || err != nil || n < 0 || n > MaxTimeoutMilliseconds {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}
