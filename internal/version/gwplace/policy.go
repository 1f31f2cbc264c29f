// Package gwplace decides which server should own which range of a key space of hashed keys.
package gwplace

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Policy is the placement policy of one cell for one key space. It must not be used concurrently.
type Policy struct {
	cfg    settings
	origin time.Time
	// ranges is aligned with the assignment of the last view.
	ranges  []rangeState
	history map[gw.ServerName]*serverHistory
	// pending holds proposed moves that have not been seen in an assignment.
	pending map[gw.Position]pendingMove
	hot     map[gw.Position]*hotHistory
	// hotOrder holds the positions of hot in order.
	hotOrder []gw.Position
	churn    churnLog
	// unownedSince is when the key space first had no owner at all while a server was up.
	unownedSince    time.Time
	imbalancedSince time.Time
	imbalancedViews int
	rebalancing     bool
	failedRounds    int
	pausedUntil     time.Time
}

// pendingMove is a proposed move.
type pendingMove struct {
	from, to gw.ServerName
	// last is the end of the range when the move was proposed.
	last  gw.Position
	since time.Time
	// rebalancing is set for a rebalancing move. It expires after the move timeout.
	rebalancing bool
	// isolates is set when the range must first be split off a larger one.
	isolates bool
}

// serverHistory is the state of a server that is kept between views.
type serverHistory struct {
	state        gw.ServerState
	suspectSince time.Time
	// viewsOver and under count consecutive views in which the load was above or below the fair load.
	viewsOver, viewsUnder int
	lastSeen              time.Time
}

var _ gw.Placer = (*Policy)(nil)

// New returns a policy that has seen no view.
func New(opts ...Option) *Policy {
	p := &Policy{
		cfg:     defaults(),
		history: make(map[gw.ServerName]*serverHistory),
		pending: make(map[gw.Position]pendingMove),
		hot:     make(map[gw.Position]*hotHistory),
	}
	for _, opt := range opts {
		opt(&p.cfg)
	}
	return p
}

// Place proposes splits, merges and moves for a view. Views must come in the order of their time.
func (p *Policy) Place(view gw.PlacementView) gw.Plan {
	if len(view.Assignment.Ranges) == 0 {
		return gw.Plan{}
	}
	d := p.observe(&view)
	if len(d.up) == 0 {
		return gw.Plan{}
	}
	if view.Lead && d.allUnowned() {
		d.assignInitial()
		return d.plan
	}
	p.unownedSince = time.Time{}
	d.reassignUrgent()
	d.expirePending()
	d.detectImbalance()
	if !d.now.Before(p.pausedUntil) {
		d.mergeCooled()
		d.isolateHot()
		d.rebalance()
		d.mergeExcessRanges()
	}
	return d.plan
}
