package gwlease

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// record is the newest state of the key space's record that the Core knows.
type record struct {
	// loaded is set once the store has answered. found is set when it had a record.
	loaded     bool
	found      bool
	version    gw.StoreVersion
	assignment gw.Assignment
	// knownID is the last request id used when the version was first seen.
	knownID uint64
	// absent is set when the store has lost the record. The next commit creates it again.
	absent bool
	// unwritten is set when the assignment has commits that the store has lost.
	unwritten bool
	// repaired is set when fields of the record could not be read. The next commit writes the record without them, so
	// that hosts of earlier versions can read it, too.
	repaired bool
	// stale is set when a write found another version in the store.
	stale  bool
	readID uint64
	readAt time.Time
}

// storeHealth implements the backoff of calls to a store that does not answer.
type storeHealth struct {
	failures int
	retryAt  time.Time
}

const (
	storeRetryMin = 100 * time.Millisecond
	storeRetryMax = 2 * time.Second
)

// storeFailed doubles the time until the next call. The jitter depends on the instance, so that instances do not all
// call a recovering store at the same moment.
func (c *Core) storeFailed() {
	wait := min(storeRetryMin<<min(c.store.failures, 10), storeRetryMax)
	jitter := hash(string(c.opts.instance), c.opts.cell.String(), string(rune(c.store.failures))) % uint64(wait/2)
	c.store.failures++
	c.store.retryAt = c.now.Add(wait/2 + time.Duration(jitter))
}

func (c *Core) storeAnswered() {
	c.store = storeHealth{}
}

func (c *Core) recordedCell() (gw.Cell, bool) {
	return c.record.assignment.Cell(c.opts.cell.DataCentre)
}

func (c *Core) keySpace() gw.KeySpace {
	if c.service.Name == "" {
		return gw.KeySpace{Service: c.opts.cell.Service, Region: c.opts.region}
	}
	return c.service.KeySpaceIn(c.opts.region)
}

// readRecord reads the record when the last read is too old or is no longer sufficient.
func (c *Core) readRecord() {
	if c.outstanding(c.record.readID) || c.now.Before(c.store.retryAt) || c.stopping && !c.controls() {
		return
	}
	if c.mustWriteBack() && c.now.Before(c.record.readAt.Add(storeRetryMin)) {
		// No read confirms anything before the record is written.
		return
	}
	due := c.controls() && c.due(c.record.readAt.Add(c.opts.timing.ReadEvery)) ||
		c.isCandidate() && c.due(c.record.readAt.Add(c.opts.timing.CandidateReadEvery))
	if c.record.loaded && !due && !c.readNeeded() {
		return
	}
	if !c.record.loaded && !c.isCandidate() {
		return
	}
	r := c.newRequest(requestRead, c.opts.timing.StoreTimeout)
	c.record.readID = r.id
	c.record.readAt = c.now
	c.watch.readWanted = false
	c.emit(ReadAssignment{ID: r.id})
}

// readNeeded reports whether a decision waits for a read that has not been sent yet.
func (c *Core) readNeeded() bool {
	if c.watch.readWanted || c.write != nil && c.write.outcomeUnknown && c.write.notAppliedID <= c.write.id {
		return true
	}
	return c.controls() && c.control.neededID > c.control.confirmedID
}

func (c *Core) assignmentRead(in AssignmentRead) {
	c.progressNow = true
	if in.ID == 0 {
		if in.Err == nil && in.Found && (!c.record.loaded || in.Version > c.record.version) {
			c.adoptRecord(in.Version, in.Assignment, nil)
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
		c.noRecord(r)
		return
	}
	c.adoptRecord(in.Version, in.Assignment, r)
	c.noteRepaired(in.Version, in.Repaired)
	c.extendAuthority(r)
	c.noteNotApplied(r.id)
}

// noteRepaired records that fields of the stored record of a version could not be read.
func (c *Core) noteRepaired(version gw.StoreVersion, repaired bool) {
	if repaired && c.record.version == version {
		c.record.repaired = true
	}
}

// noRecord applies a read that found no record. If one is known, the read counts only when it was sent afterwards.
func (c *Core) noRecord(r *request) {
	if c.record.found && !c.record.absent {
		if r.id <= c.record.knownID {
			return
		}
		c.recordGone()
	}
	c.record.loaded = true
	c.noteNotApplied(r.id)
}

// adoptRecord bases all decisions from now on on a newer record. basis is the request whose answer showed it, nil
// when it came through the feed.
func (c *Core) adoptRecord(version gw.StoreVersion, a gw.Assignment, basis *request) {
	if c.record.found && version < c.record.version {
		return
	}
	if !c.record.found || version != c.record.version {
		c.replaceRecord(version, a, false)
	}
	c.checkControl(basis)
}

// replaceRecord replaces the record by a newer one. What the store has lost in a restore is kept, and written back with
// the next commit.
func (c *Core) replaceRecord(version gw.StoreVersion, a gw.Assignment, absent bool) {
	known := c.record
	c.noteEra(version, a)
	unwritten := false
	if known.restored(version, a) || known.unwritten {
		a, unwritten = withKnown(a, known.assignment, !c.isUnwritten(version, a))
	}
	c.record.loaded, c.record.found = true, true
	c.record.version, c.record.assignment = version, a
	c.record.absent, c.record.unwritten, c.record.repaired = absent, unwritten, false
	c.record.knownID = c.lastRequestID
	if known.unwritten && !unwritten {
		// No read has extended the authority while there was something to write back.
		c.watch.readWanted = true
	}
	c.record.stale = false
	c.indexOwners()
	c.noteEpoch()
	c.endWrite()
	c.endMoves()
}

func (c *Core) indexOwners() {
	before := c.rangesByOwner
	c.rangesByOwner = map[gw.ServerName][]gw.GrantedRange{}
	a := c.record.assignment
	for i, r := range a.Ranges {
		if r.Owner != "" {
			c.rangesByOwner[r.Owner] = append(c.rangesByOwner[r.Owner], gw.GrantedRange{
				Range: a.Span(i), Token: r.Token, Handover: r.Handover,
			})
		}
	}
	c.updateServers()
	for _, s := range c.byName {
		// A server that gained a range gets its list at once, because nobody serves the range until then.
		if name := s.entry.Name; c.hasSessions(s) && gainedRange(before[name], c.rangesByOwner[name]) {
			s.sendAt = c.now
		}
	}
}

// gainedRange reports whether a token in after is higher than all tokens in before, which is the case after a move
// to the server.
func gainedRange(before, after []gw.GrantedRange) bool {
	var highest gw.Revision
	for _, r := range before {
		highest = max(highest, r.Token)
	}
	return slices.ContainsFunc(after, func(r gw.GrantedRange) bool { return r.Token > highest })
}
