package gwplace

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// churnEntry is a rebalancing move and the share of the keys that it moves.
type churnEntry struct {
	first   gw.Position
	at      time.Time
	share   float64
	ownCell bool
}

// churnLog records the rebalancing moves of the last minute. Moves of other cells are included as the assignment
// shows them.
type churnLog struct {
	moves []churnEntry
}

// addProposed records a proposed move of the own cell.
func (l *churnLog) addProposed(first gw.Position, now time.Time, share float64) {
	l.moves = append(l.moves, churnEntry{first: first, at: now, share: share, ownCell: true})
}

// recordMove records that the assignment shows a move. If the own cell proposed it, the time of the last proposal for
// the range becomes the time of the move, so that late moves cannot exceed the budget within a minute. A move that was
// not proposed here counts only if it is a rebalancing move.
func (l *churnLog) recordMove(first gw.Position, now time.Time, share float64, ownCell, rebalancing bool) {
	for i := len(l.moves) - 1; i >= 0; i-- {
		if ownCell && l.moves[i].ownCell && l.moves[i].first == first {
			l.moves[i].at = now
			return
		}
	}
	if rebalancing {
		l.moves = append(l.moves, churnEntry{first: first, at: now, share: share, ownCell: ownCell})
	}
}

// removeProposed removes a proposed move that did not happen, so that its share is available again.
func (l *churnLog) removeProposed(first gw.Position) {
	for i := len(l.moves) - 1; i >= 0; i-- {
		if l.moves[i].ownCell && l.moves[i].first == first {
			l.moves = append(l.moves[:i], l.moves[i+1:]...)
			return
		}
	}
}

// recentShares returns the shares of keys moved within the last minute, by the own cell and by all cells. It drops
// older moves that are not pending.
func (l *churnLog) recentShares(now time.Time, pending map[gw.Position]pendingMove) (ownCell, all float64) {
	kept := l.moves[:0]
	for _, m := range l.moves {
		if _, stillPending := pending[m.first]; now.Sub(m.at) >= churnWindow && (!stillPending || !m.ownCell) {
			continue
		}
		kept = append(kept, m)
		all += m.share
		if m.ownCell {
			ownCell += m.share
		}
	}
	l.moves = kept
	return ownCell, all
}
