package gwlease

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// watch is a candidate's view of the present controller.
type watch struct {
	// readWanted asks for a read of the record as soon as possible.
	readWanted bool
	probeAt    time.Time
	// epoch is the one that misses and goneAt are about.
	epoch  gw.Epoch
	misses int
	// goneAt is when the controller was found to be gone or to have stopped, zero before.
	goneAt time.Time
	// vacantAt is when the record was first seen without a controller.
	vacantAt time.Time
}

// watchController probes the present controller and takes over when it is missing.
func (c *Core) watchController() {
	if !c.record.known || !c.isCandidate() {
		return
	}
	cell, ok := c.recordedCell()
	if !ok {
		if c.watch.vacantAt.IsZero() {
			c.watch.vacantAt = c.now
		}
		if !c.now.Before(c.watch.vacantAt.Add(c.rankDelay())) {
			c.takeOver()
		}
		return
	}
	if cell.Epoch != c.watch.epoch {
		c.watch.epoch, c.watch.misses, c.watch.goneAt = cell.Epoch, 0, time.Time{}
	}
	if c.knownGone(cell) {
		c.controllerGone()
	}
	if c.overdue(cell) {
		c.takeOver()
	}
	if cell.Host != c.o.host && c.due(c.watch.probeAt) {
		c.watch.probeAt = c.now.Add(c.o.timing.ProbeEvery)
		c.probe(cell.Host)
	}
}

// rankDelay spaces candidates, so that the second one acts only when the first one does not.
func (c *Core) rankDelay() time.Duration {
	return time.Duration(c.rank()*c.o.timing.Misses) * c.o.timing.ProbeEvery
}

// knownGone reports whether the recorded controller has stopped for certain.
func (c *Core) knownGone(cell gw.Cell) bool {
	if cell.Controller == c.o.instance {
		return cell.Epoch <= c.control.abandoned
	}
	return cell.Host == c.o.host || c.covered.epoch >= cell.Epoch ||
		stopped(c.cfg, cell.Host, c.dataCentreOf(cell.Host))
}

func (c *Core) controllerGone() {
	if c.watch.goneAt.IsZero() {
		c.watch.goneAt = c.now
	}
}

// overdue reports whether this candidate is to take over now.
func (c *Core) overdue(cell gw.Cell) bool {
	if max(c.covered.epoch, c.relieve) >= cell.Epoch {
		return true
	}
	if !c.watch.goneAt.IsZero() && !c.now.Before(c.watch.goneAt.Add(c.rankDelay())) {
		return true
	}
	return cell.Controller != c.o.instance && c.watch.misses >= c.o.timing.Misses*(c.rank()+1)
}

// takeOver commits the next epoch. The assignment of ranges stays as it is.
func (c *Core) takeOver() {
	if c.write != nil || c.record.stale || c.now.Before(c.store.retryAt) {
		return
	}
	base := c.record.assignment
	if !c.record.found {
		base = gw.NewAssignment(c.keySpace())
	}
	old, _ := base.Cell(c.o.cell.DataCentre)
	next := base.WithCell(gw.Cell{
		DataCentre: c.o.cell.DataCentre, Epoch: old.Epoch + 1, Controller: c.o.instance, Host: c.o.host,
		Since: base.Revision + 1,
	})
	c.startWrite(next, true, nil)
}

// probe asks a host whether it controls the cell.
func (c *Core) probe(name gw.HostName) {
	r := c.newRequest(requestProbe, c.o.timing.ProbeTimeout)
	r.host = name
	h, ok := c.hosts[name]
	if !ok || h.entry.PeerAddress == "" {
		// The request stays without answer and counts as a miss, since the host list does not name the host.
		return
	}
	c.emit(SendProbe{ID: r.id, Host: h.entry, Request: gw.ProbeRequest{From: c.o.instance, Cell: c.o.cell}})
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
		c.formerAnswered(r, in)
		return
	}
	cell, ok := c.recordedCell()
	if !ok || cell.Host != r.host {
		return
	}
	c.wake = true
	switch {
	case in.Reply.Epoch > cell.Epoch:
		c.watch.misses = 0
		c.watch.readWanted = true
	case in.Reply.Instance != cell.Controller || in.Reply.Stopping && in.Reply.Epoch == 0:
		c.controllerGone()
	case in.Reply.Epoch == cell.Epoch && !in.Reply.Stopping:
		c.watch.misses, c.watch.goneAt = 0, time.Time{}
	default:
		c.watch.misses++
	}
}

func (c *Core) probeMissed(r *request) {
	if cell, ok := c.recordedCell(); ok && !c.controls() && cell.Host == r.host {
		c.watch.misses++
	}
}
