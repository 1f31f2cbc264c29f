package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// record is the newest state of the key space's record that the Core knows.
type record struct {
	// known is set once the store has answered, found when it then had a record.
	known      bool
	found      bool
	version    gw.StoreVersion
	assignment gw.Assignment
	// stale is set when a write has found another version in the store.
	stale  bool
	readID uint64
	readAt time.Time
}

// storeHealth spaces calls to a store that does not answer.
type storeHealth struct {
	failures int
	retryAt  time.Time
}

const (
	storeRetryFirst = 100 * time.Millisecond
	storeRetryMost  = 2 * time.Second
)

// storeFailed doubles the time until the next call, with a jitter that differs between instances so that
// they do not call a returning store at the same moment.
func (c *Core) storeFailed() {
	wait := min(storeRetryFirst<<min(c.store.failures, 10), storeRetryMost)
	jitter := hash(string(c.o.instance), c.o.cell.String(), string(rune(c.store.failures))) % uint64(wait/2)
	c.store.failures++
	c.store.retryAt = c.now.Add(wait/2 + time.Duration(jitter))
}

func (c *Core) storeAnswered() {
	c.store = storeHealth{}
}

func (c *Core) recordedCell() (gw.Cell, bool) {
	return c.record.assignment.Cell(c.o.cell.DataCentre)
}

func (c *Core) keySpace() gw.KeySpace {
	if c.service.Name == "" {
		return gw.KeySpace{Service: c.o.cell.Service, Region: c.o.region}
	}
	return c.service.KeySpaceIn(c.o.region)
}

// readRecord reads the record when the last read is too old or is no longer sufficient.
func (c *Core) readRecord() {
	if c.outstanding(c.record.readID) || c.now.Before(c.store.retryAt) || c.stopping && !c.controls() {
		return
	}
	due := c.controls() && c.due(c.record.readAt.Add(c.o.timing.ReadEvery)) ||
		c.isCandidate() && c.due(c.record.readAt.Add(c.o.timing.CandidateReadEvery))
	if c.record.known && !due && !c.readNeeded() {
		return
	}
	if !c.record.known && !c.isCandidate() {
		return
	}
	r := c.newRequest(requestRead, c.o.timing.StoreTimeout)
	c.record.readID = r.id
	c.record.readAt = c.now
	c.watch.readWanted = false
	c.emit(ReadAssignment{ID: r.id})
}

// readNeeded reports whether a decision waits for a read that is sent from now on.
func (c *Core) readNeeded() bool {
	if c.watch.readWanted || c.write != nil && c.write.unknown && c.write.readID <= c.write.id {
		return true
	}
	return c.controls() && c.control.wantID > c.control.confirmID
}

func (c *Core) assignmentRead(in AssignmentRead) {
	c.wake = true
	if in.ID == 0 {
		if in.Err == nil && in.Found && (!c.record.known || in.Version > c.record.version) {
			c.adopt(in.Version, in.Assignment, nil)
		}
		return
	}
	r, ok := c.takeRequest(in.ID, requestRead)
	if !ok {
		return
	}
	if in.Err != nil {
		c.storeFailed()
		return
	}
	c.storeAnswered()
	if !in.Found {
		if !c.record.found {
			c.record.known = true
			c.writeReadBack(r.id)
		}
		return
	}
	c.adopt(in.Version, in.Assignment, r)
	c.confirm(r)
	c.writeReadBack(r.id)
}

// adopt makes a newer record the basis of all decisions. basis is the request that showed it, nil
// when it came through the feed.
func (c *Core) adopt(version gw.StoreVersion, a gw.Assignment, basis *request) {
	if c.record.found && version < c.record.version {
		return
	}
	changed := !c.record.found || version != c.record.version
	c.record.known, c.record.found = true, true
	c.record.version, c.record.assignment = version, a
	if changed {
		c.record.stale = false
		c.indexOwners()
		c.noteEpoch()
		c.settleWrite()
		c.settleMoves()
	}
	c.checkControl(basis)
}

func (c *Core) indexOwners() {
	before := c.owned
	c.owned = map[gw.ServerName][]gw.GrantedRange{}
	a := c.record.assignment
	for i, r := range a.Ranges {
		if r.Owner != "" {
			c.owned[r.Owner] = append(c.owned[r.Owner], gw.GrantedRange{
				Range: a.Span(i), Token: r.Token, Handover: r.Handover,
			})
		}
	}
	c.listServers()
	for _, s := range c.byName {
		// A server that gained a range gets its list at once, since nobody serves the range until then.
		if name := s.entry.Name; c.sessions(s) && gained(before[name], c.owned[name]) {
			s.sendAt = c.now
		}
	}
}

// gained reports whether a token in after is higher than all before, which is so after a move to the server.
func gained(before, after []gw.GrantedRange) bool {
	var highest gw.Revision
	for _, r := range before {
		highest = max(highest, r.Token)
	}
	return slices.ContainsFunc(after, func(r gw.GrantedRange) bool { return r.Token > highest })
}
