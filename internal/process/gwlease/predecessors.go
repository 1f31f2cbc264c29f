package gwlease

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// recordedEpoch is an epoch of the cell and the controller that the record named for it.
type recordedEpoch struct {
	cell gw.Cell
	// recordedAt is when the record was first seen with this epoch. No read since then has named an earlier
	// controller.
	recordedAt time.Time
	// stoppedAt is when the controller was proved to have stopped, zero before.
	stoppedAt time.Time
	// answeredAt is when the controller's process last answered a probe.
	answeredAt time.Time
	// clearedAt is when the record was first seen to say that all controllers before this one had stopped.
	clearedAt time.Time
}

// coveredEpochs is the claim of a handover: since at, no controller up to epoch renews any owner that had to be
// fenced.
type coveredEpochs struct {
	epoch gw.Epoch
	at    time.Time
}

// noteEpoch adds the recorded controller to epochs. When an epoch was missed, the earlier entries are dropped,
// because nothing is known of the controller in between.
func (c *Core) noteEpoch() {
	cell, ok := c.recordedCell()
	if !ok {
		return
	}
	if n := len(c.epochs); n > 0 {
		last := &c.epochs[n-1]
		if cell.Epoch == last.cell.Epoch && cell.PredecessorsStopped && last.clearedAt.IsZero() {
			last.clearedAt = c.now
		}
		if cell.Epoch <= last.cell.Epoch {
			return
		}
		if cell.Epoch != c.epochs[n-1].cell.Epoch+1 {
			c.epochs = nil
		}
	}
	e := recordedEpoch{cell: cell, recordedAt: c.now}
	if cell.PredecessorsStopped {
		e.clearedAt = c.now
	}
	c.epochs = append(c.epochs, e)
	c.forgetEpochs()
}

// withPredecessorsStopped notes in a record to be written what this controller has proved.
func (c *Core) withPredecessorsStopped(next gw.Assignment) gw.Assignment {
	cell, ok := next.Cell(c.opts.cell.DataCentre)
	if !ok || !c.controls() || cell.Epoch != c.control.epoch || cell.PredecessorsStopped {
		return next
	}
	if since, stopped := c.predecessorsStopped(); !c.opts.faults.clearUnproven && (!stopped || c.now.Before(since)) {
		return next
	}
	cell.PredecessorsStopped = true
	return next.WithCell(cell)
}

// forgetEpochs drops controllers whose authority has expired, except the one before the current.
func (c *Core) forgetEpochs() {
	for len(c.epochs) > 2 && !c.now.Before(c.authorityEndBefore(c.epochs[1].recordedAt)) {
		c.epochs = c.epochs[1:]
	}
}

// authorityEndBefore returns when all controllers that preceded one recorded at the given time have lost their
// authority.
func (c *Core) authorityEndBefore(recorded time.Time) time.Time {
	return recorded.Add(c.opts.timing.upperBound(c.opts.timing.Authority))
}

// predecessorsStopped returns the time since which no earlier controller has renewed any server, and whether that
// time has come. It goes back through the known controllers until a handover, the record or the expiry of authority
// covers all earlier ones.
func (c *Core) predecessorsStopped() (time.Time, bool) {
	since, stopped := c.recordedPredecessorsStopped()
	if c.restore.era == 0 {
		return since, stopped
	}
	// The store may have lost the commit of a controller that is not known here.
	end := c.formerAuthorityEnd()
	return later(since, end), stopped && !c.restore.writtenAt.IsZero() && !c.now.Before(end)
}

func (c *Core) recordedPredecessorsStopped() (time.Time, bool) {
	var latest, byTime time.Time
	below := c.control.epoch
	for i := len(c.epochs) - 1; ; i-- {
		if i >= 0 && c.epochs[i].cell.Epoch >= below {
			byTime = c.authorityEndBefore(c.epochs[i].recordedAt)
			continue
		}
		switch {
		case below <= 1:
			return latest, true
		case c.receivedHandover.epoch+1 >= below:
			return later(latest, c.receivedHandover.at), true
		case !byTime.IsZero() && !c.now.Before(byTime):
			return later(latest, byTime), true
		case i < 0 || c.stoppedSince(c.epochs[i]).IsZero():
			return time.Time{}, false
		}
		latest = later(latest, c.stoppedSince(c.epochs[i]))
		if !c.epochs[i].clearedAt.IsZero() {
			return later(latest, c.epochs[i].clearedAt), true
		}
		below = c.epochs[i].cell.Epoch
		byTime = c.authorityEndBefore(c.epochs[i].recordedAt)
	}
}

// stoppedSince returns since when a controller is known to have stopped. The Core itself stopped acting under its
// earlier epochs when it started under the current one.
func (c *Core) stoppedSince(e recordedEpoch) time.Time {
	if e.cell.Controller == c.opts.instance {
		return c.control.since
	}
	return e.stoppedAt
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// markPredecessorsStopped marks the controllers that isOver identifies as proved to have stopped.
func (c *Core) markPredecessorsStopped(isOver func(gw.Cell) bool) {
	for i := range c.epochs {
		if c.epochs[i].stoppedAt.IsZero() && c.epochs[i].cell.Controller != c.opts.instance && isOver(c.epochs[i].cell) {
			c.epochs[i].stoppedAt = c.now
			c.progressNow = true
		}
	}
}

// acceptStoppedStatements applies operators' statements that the processes of a host are stopped. Configurations
// arrive late, so a statement may refer to an earlier process; it is not applied to a process that answers.
func (c *Core) acceptStoppedStatements() {
	for i := range c.epochs {
		e := &c.epochs[i]
		if e.stoppedAt.IsZero() && e.cell.Controller != c.opts.instance && c.silentSince(e.answeredAt) &&
			declaredStopped(c.cfg, e.cell.Host, c.dataCentreOf(e.cell.Host)) {
			e.stoppedAt = c.now
			c.progressNow = true
		}
	}
}

// silentSince reports whether a process that last answered at the given time has had enough time for another answer
// under this epoch and has not sent one.
func (c *Core) silentSince(answered time.Time) bool {
	return c.now.Sub(later(answered, c.control.since)) > c.opts.timing.RequestTimeout
}

func (c *Core) dataCentreOf(name gw.HostName) gw.DataCentreName {
	if h, ok := c.hosts[name]; ok {
		return h.entry.DataCentre
	}
	return ""
}

// probePredecessors asks earlier controllers whether they have stopped, while an owner is not fenced.
func (c *Core) probePredecessors() {
	if !c.due(c.watch.probeAt) || !c.hasUnfencedOwner() {
		return
	}
	if c.anyStopped {
		c.acceptStoppedStatements()
	}
	c.watch.probeAt = c.now.Add(c.opts.timing.ProbeEvery)
	for _, e := range c.epochs {
		if e.stoppedAt.IsZero() && e.cell.Epoch < c.control.epoch {
			c.probe(e.cell.Host)
		}
	}
}

// predecessorAnswered evaluates a probe that was sent after control started.
func (c *Core) predecessorAnswered(r *request, in ProbeAnswered) {
	if r.id <= c.control.startID {
		return
	}
	for i := range c.epochs {
		if c.epochs[i].cell.Controller == in.Reply.Instance {
			c.epochs[i].answeredAt = c.now
		}
	}
	c.markPredecessorsStopped(func(cell gw.Cell) bool {
		if cell.Host != r.host || cell.Epoch >= c.control.epoch {
			return false
		}
		return in.Reply.Instance != cell.Controller || in.Reply.Epoch == 0
	})
}
