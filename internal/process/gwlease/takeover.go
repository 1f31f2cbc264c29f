package gwlease

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// controllerWatch is what a candidate knows of the current controller.
type controllerWatch struct {
	// readWanted asks for a read of the record as soon as possible.
	readWanted bool
	probeAt    time.Time
	// epoch is the epoch that misses and stoppedAt refer to.
	epoch  gw.Epoch
	misses int
	// stoppedAt is when the controller was found to have stopped or to have been replaced by another process, zero
	// before.
	stoppedAt time.Time
	// vacantSince is when the record was first seen without a controller.
	vacantSince time.Time
}

// watchController probes the current controller and takes over when it is lost.
func (c *Core) watchController() {
	if !c.record.loaded || !c.isCandidate() {
		return
	}
	cell, ok := c.recordedCell()
	if !ok {
		if c.watch.vacantSince.IsZero() {
			c.watch.vacantSince = c.now
		}
		if !c.now.Before(c.watch.vacantSince.Add(c.takeoverDelay())) {
			c.takeOver()
		}
		return
	}
	if cell.Epoch != c.watch.epoch {
		c.watch.epoch, c.watch.misses, c.watch.stoppedAt = cell.Epoch, 0, time.Time{}
	}
	if c.controllerKnownStopped(cell) {
		c.noteControllerStopped()
	}
	if c.shouldTakeOver(cell) {
		c.takeOver()
	}
	if cell.Host != c.opts.host && c.due(c.watch.probeAt) {
		c.watch.probeAt = c.now.Add(c.opts.timing.ProbeEvery)
		c.probe(cell.Host)
	}
}

// takeoverDelay staggers the candidates, so that the second acts only when the first does not.
func (c *Core) takeoverDelay() time.Duration {
	return time.Duration(c.rank()*c.opts.timing.ProbeMisses) * c.opts.timing.ProbeEvery
}

// controllerKnownStopped reports whether the recorded controller is proved to have stopped.
func (c *Core) controllerKnownStopped(cell gw.Cell) bool {
	if cell.Controller == c.opts.instance {
		return cell.Epoch <= c.control.abandonedEpoch
	}
	return cell.Host == c.opts.host || c.receivedHandover.epoch >= cell.Epoch ||
		declaredStopped(c.cfg, cell.Host, c.dataCentreOf(cell.Host))
}

func (c *Core) noteControllerStopped() {
	if c.watch.stoppedAt.IsZero() {
		c.watch.stoppedAt = c.now
	}
}

// shouldTakeOver reports whether this candidate has to take over now.
func (c *Core) shouldTakeOver(cell gw.Cell) bool {
	if max(c.receivedHandover.epoch, c.reliefEpoch) >= cell.Epoch {
		return true
	}
	if !c.watch.stoppedAt.IsZero() && !c.now.Before(c.watch.stoppedAt.Add(c.takeoverDelay())) {
		return true
	}
	return cell.Controller != c.opts.instance && c.watch.misses >= c.opts.timing.ProbeMisses*(c.rank()+1)
}

// takeOver commits the next epoch and leaves the assignment of ranges unchanged.
func (c *Core) takeOver() {
	if c.write != nil || c.record.stale || c.now.Before(c.store.retryAt) {
		return
	}
	base := c.record.assignment
	if !c.record.found {
		base = gw.NewAssignment(c.keySpace())
	}
	if c.record.absent {
		// The answer tells the era of the store, and no epoch is given out before it is known.
		c.startWrite(base, true, nil)
		return
	}
	old, _ := base.Cell(c.opts.cell.DataCentre)
	next := base.WithCell(gw.Cell{
		DataCentre: c.opts.cell.DataCentre, Controller: c.opts.instance, Host: c.opts.host,
		Epoch: max(old.Epoch+1, c.record.version.Era().FirstEpoch()),
		Since: c.nextRevision(),
	})
	c.startWrite(next, true, nil)
}

// probe asks a host whether it controls the cell.
func (c *Core) probe(name gw.HostName) {
	r := c.newRequest(requestProbe, c.opts.timing.ProbeTimeout)
	r.host = name
	h, ok := c.hosts[name]
	if !ok || h.entry.PeerAddress == "" {
		// The host list does not name the host, so the request stays unanswered and counts as a miss.
		return
	}
	c.emit(SendProbe{ID: r.id, Host: h.entry, Request: gw.ProbeRequest{From: c.opts.instance, Cell: c.opts.cell}})
}

func (c *Core) probeAnswered(in ProbeAnswered) {
	r, ok := c.takeRequest(in.ID, requestProbe)
	if !ok {
		return
	}
	if in.Err != nil {
		c.probeMissed(r)
		return
	}
	if c.controls() {
		c.predecessorAnswered(r, in)
		return
	}
	cell, ok := c.recordedCell()
	if !ok || cell.Host != r.host {
		return
	}
	c.progressNow = true
	switch {
	case in.Reply.Epoch > cell.Epoch:
		c.watch.misses = 0
		c.watch.readWanted = true
	case in.Reply.Instance != cell.Controller || in.Reply.Stopping && in.Reply.Epoch == 0:
		c.noteControllerStopped()
	case in.Reply.Epoch == cell.Epoch && !in.Reply.Stopping:
		c.watch.misses, c.watch.stoppedAt = 0, time.Time{}
	default:
		c.watch.misses++
	}
}

func (c *Core) probeMissed(r *request) {
	if cell, ok := c.recordedCell(); ok && !c.controls() && cell.Host == r.host {
		c.watch.misses++
	}
}
