// Package gwtable chooses the target of a request from the configuration, assignments and directories in force.
package gwtable

import (
	"sync"
	"sync/atomic"

	gw "github.com/geraniumworks/geraniumworks"
)

// Table holds the newest State. It is safe for concurrent use; readers do not lock.
type Table struct {
	state atomic.Pointer[State]

	mu      sync.Mutex
	changed chan struct{}
}

// NewTable returns a Table without configuration.
func NewTable() *Table {
	t := &Table{changed: make(chan struct{})}
	t.state.Store(&State{
		Assignments: map[gw.KeySpace]Record{},
		Directories: map[gw.CellID]gw.Directory{},
		Loads:       map[gw.CellID]gw.CellLoads{},
		spaces:      map[gw.KeySpace][]cellIndex{},
		cells:       map[gw.ServiceName][]gw.Directory{},
	})
	return t
}

// State returns the newest state.
func (t *Table) State() State {
	return *t.state.Load()
}

// Changed returns a channel that is closed at the next change. Call it before State, so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Apply adds an item, or returns an error when it cannot be decoded. Items of unknown topics are ignored.
func (t *Table) Apply(item gw.Item) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, err := t.state.Load().WithItem(item)
	if err != nil {
		return err
	}
	t.state.Store(&next)
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}
