package gwserver

import gw "github.com/geraniumworks/geraniumworks"

// Reasons in the Gw-Reason header of a backend server's refusal. Each comes with status 503 and
// "Gw-Outcome: not-run". A server that has too much work answers gw.ReasonOverloaded.
const (
	// ReasonNoSession means that the server has no live session, or lost it before the request's effect.
	ReasonNoSession gw.Reason = "no-session"
	// ReasonWrongRange means that the server does not hold the request's position.
	ReasonWrongRange gw.Reason = "wrong-range"
	// ReasonStaleToken means that the request's token is not that of the server's range.
	ReasonStaleToken gw.Reason = "stale-token"
	// ReasonDraining means that the server takes no new work.
	ReasonDraining gw.Reason = "draining"
	// ReasonTimedOut means that Gw-Timeout-Milliseconds passed before the request had an effect.
	ReasonTimedOut gw.Reason = "timed-out"
)
