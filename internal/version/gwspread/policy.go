// Package gwspread decides which server should own which range of a key space whose busy keys are neighbours and
// change within seconds.
//
// It answers three patterns of load: a block of neighbouring keys that gets a large share of the requests for a
// few seconds, servers of different speed, and servers that come, leave or are lost. Moves off live servers are
// cheap there, since keys arrive warm with what their former owner hands over, so that it has no churn budget.
// Package gwplace is for key spaces of hashed keys.
package gwspread

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Policy is the placement policy of one cell for one key space. It must not be used concurrently.
type Policy struct {
	s settings
	// unowned is when a key space without any owner was first seen together with a server that is up.
	unowned time.Time
	// upServers is how many servers were up in the last view without any owner, upSince since when.
	upServers int
	upSince   time.Time
	// shifts are the moves that the reported loads do not fully show yet.
	shifts []shift
}

// shift is a proposed move whose load still shows at the former owner.
type shift struct {
	first    gw.Position
	from, to gw.ServerName
	load     float64
	// proposedAt is when the move was proposed, movedAt when the new owner was first seen.
	proposedAt time.Time
	movedAt    time.Time
}

var _ gw.Placer = (*Policy)(nil)

// New returns a policy without memory of earlier views.
func New(opts ...Option) *Policy {
	p := &Policy{s: defaults()}
	for _, opt := range opts {
		opt(&p.s)
	}
	return p
}

// Place proposes splits, merges and moves for a view. Views must come in the order of their time.
func (p *Policy) Place(view gw.PlacementView) gw.Plan {
	if len(view.Assignment.Ranges) == 0 {
		return gw.Plan{}
	}
	d := p.read(&view)
	if len(d.up) == 0 {
		return gw.Plan{}
	}
	if view.Lead && d.unowned {
		d.start()
		return d.plan
	}
	p.unowned = time.Time{}
	d.replace()
	d.isolate()
	d.relieve()
	d.fill()
	d.merge()
	return d.plan
}
