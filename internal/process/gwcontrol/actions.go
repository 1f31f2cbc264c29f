package gwcontrol

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlease"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

// assignmentKeyPrefix precedes service and region in the store's keys of assignments.
const assignmentKeyPrefix = "ownership/"

// maxAssignmentKeyBytes bounds the store's keys of assignments. The store may add a prefix to them, and takes keys of
// 200 bytes.
const maxAssignmentKeyBytes = 180

// AssignmentKey returns the store's key of the assignment of a key space. The end of a key that would be too long is
// replaced by a checksum of it.
func AssignmentKey(space gw.KeySpace) string {
	key := assignmentKeyPrefix + space.String()
	if len(key) <= maxAssignmentKeyBytes {
		return key
	}
	sum := fmt.Sprintf("/%x", sha256.Sum256([]byte(key)))
	return strings.ToValidUTF8(key[:maxAssignmentKeyBytes-len(sum)], "") + sum
}

// execute executes an action of a controller. Calls run in goroutines of their own; their results return as events.
func (l *Loop) execute(ctx context.Context, c *cell, out gwlease.Output) {
	switch out := out.(type) {
	case gwlease.Event:
		l.report(c, out)
	case gwlease.PublishDirectory:
		item, err := gwtable.DirectoryItem(out.Directory)
		l.publish(item, err)
	case gwlease.PublishLoads:
		item, err := gwtable.LoadsItem(out.Loads)
		l.publish(item, err)
	case gwlease.ReadAssignment:
		l.call(ctx, c, out.ID, "read-assignment", func(ctx context.Context) (gwlease.Input, error) {
			in := l.readAssignment(ctx, c.space, out)
			return in, in.Err
		})
	case gwlease.CommitAssignment:
		l.call(ctx, c, out.ID, "commit-assignment", func(ctx context.Context) (gwlease.Input, error) {
			in := l.commitAssignment(ctx, out)
			return in, in.Err
		})
	default:
		l.send(ctx, c, out)
	}
}

// send starts a message to a server or another host.
func (l *Loop) send(ctx context.Context, c *cell, out gwlease.Output) {
	switch out := out.(type) {
	case gwlease.SendDescribe:
		l.call(ctx, c, out.ID, "describe", func(ctx context.Context) (gwlease.Input, error) {
			status, err := l.servers.Describe(ctx, out.Server)
			return gwlease.ServerAnswered{ID: out.ID, Server: out.Server.Name, Status: status, Err: err}, err
		})
	case gwlease.SendGrant:
		l.call(ctx, c, out.ID, "grant", func(ctx context.Context) (gwlease.Input, error) {
			status, err := l.servers.Grant(ctx, out.Server, out.Grant)
			return gwlease.ServerAnswered{ID: out.ID, Server: out.Server.Name, Status: status, Err: err}, err
		})
	case gwlease.SendRelease:
		l.call(ctx, c, out.ID, "release", func(ctx context.Context) (gwlease.Input, error) {
			status, err := l.servers.Release(ctx, out.Server, out.Release)
			return gwlease.ServerAnswered{ID: out.ID, Server: out.Server.Name, Status: status, Err: err}, err
		})
	case gwlease.SendDispatchLease:
		l.call(ctx, c, out.ID, "dispatch-lease", func(ctx context.Context) (gwlease.Input, error) {
			status, err := l.peer.RenewDispatch(ctx, out.Host.PeerAddress, out.Lease)
			return gwlease.DispatcherAnswered{ID: out.ID, Host: out.Host.Name, Status: status, Err: err}, err
		})
	case gwlease.SendDispatchRelease:
		l.call(ctx, c, out.ID, "dispatch-release", func(ctx context.Context) (gwlease.Input, error) {
			status, err := l.peer.ReleaseDispatch(ctx, out.Host.PeerAddress, out.Release)
			return gwlease.DispatcherAnswered{ID: out.ID, Host: out.Host.Name, Status: status, Err: err}, err
		})
	case gwlease.SendProbe:
		l.call(ctx, c, out.ID, "probe", func(ctx context.Context) (gwlease.Input, error) {
			reply, err := l.peer.Probe(ctx, out.Host.PeerAddress, out.Request)
			return gwlease.ProbeAnswered{ID: out.ID, Host: out.Host.Name, Reply: reply, Err: err}, err
		})
	case gwlease.SendHandover:
		l.call(ctx, c, out.ID, "handover", func(ctx context.Context) (gwlease.Input, error) {
			reply, err := l.peer.Handover(ctx, out.Host.PeerAddress, out.Request)
			return gwlease.HandoverAnswered{ID: out.ID, Host: out.Host.Name, Reply: reply, Err: err}, err
		})
	default:
		l.log.Error("unknown action of a cell controller", "cell", c.id.String())
	}
}

// call runs do in a goroutine, bounded by the deadline of the request, and delivers its result to the controller of
// the cell.
func (l *Loop) call(
	ctx context.Context, c *cell, id uint64, kind string, do func(context.Context) (gwlease.Input, error),
) {
	deadline, ok := c.controller.Deadline(id)
	if !ok {
		// The controller dropped the request in the same step and does not expect a result.
		return
	}
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		bounded, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		in, err := do(bounded)
		l.counters.countAction(kind, err)
		select {
		case l.events <- event{cell: c.id, in: in}:
		case <-ctx.Done():
		}
	}()
}

func (l *Loop) readAssignment(
	ctx context.Context, space gw.KeySpace, out gwlease.ReadAssignment,
) gwlease.AssignmentRead {
	in := gwlease.AssignmentRead{ID: out.ID}
	value, err := l.store.Get(ctx, AssignmentKey(space))
	if errors.Is(err, gw.ErrNotFound) {
		return in
	}
	if err != nil {
		in.Err = err
		return in
	}
	if in.Assignment, in.Repaired, err = l.decodeRecord(value); err != nil {
		in.Err = err
		return in
	}
	in.Found, in.Version = true, value.Version
	return in
}

// decodeRecord decodes the record of an assignment and publishes it. It reports whether fields of it could not be read.
func (l *Loop) decodeRecord(value gw.StoredValue) (gw.Assignment, bool, error) {
	a, repaired, err := gw.RepairAssignment(value.Data)
	if err != nil || repaired > 0 {
		l.reportUnreadable(value, repaired, err)
	}
	if err != nil {
		return a, false, eris.Wrapf(err, "read %s", value.Key)
	}
	l.publishAssignment(gwtable.Record{StoreVersion: value.Version, Assignment: a})
	return a, repaired > 0, nil
}

// reportUnreadable counts a record that cannot be decoded, as a whole or in some fields, and logs it once for each
// version.
func (l *Loop) reportUnreadable(value gw.StoredValue, fields int, err error) {
	l.counters.unreadable.WithLabelValues(value.Key).Inc()
	if last, ok := l.unreadable.Swap(value.Key, value.Version); ok && last == value.Version {
		return
	}
	attrs := []any{"key", value.Key, "version", uint64(value.Version), "bytes", len(value.Data)}
	if err != nil {
		l.log.Error("record in the store cannot be read", append(attrs, "error", err)...)
		return
	}
	l.log.Warn("fields of a record in the store cannot be read, they are dropped", append(attrs, "fields", fields)...)
}

func (l *Loop) commitAssignment(ctx context.Context, out gwlease.CommitAssignment) gwlease.CommitDone {
	done := gwlease.CommitDone{ID: out.ID}
	data, err := gw.EncodeAssignment(out.Next)
	if err != nil {
		done.Err = err
		return done
	}
	done.Version, done.Err = l.store.CompareAndSwap(ctx, AssignmentKey(out.Next.KeySpace), out.Expected, data)
	if done.Err == nil {
		l.publishAssignment(gwtable.Record{StoreVersion: done.Version, Assignment: out.Next})
	}
	var conflict *gw.ConflictError
	if errors.As(done.Err, &conflict) {
		if done.Current, done.Repaired, err = l.decodeRecord(conflict.Current); err != nil {
			l.log.Warn("record in the answer to a refused commit cannot be used, it is read", "error", err)
			return done
		}
		done.Found, done.Version = true, conflict.Current.Version
	}
	return done
}

// publishAssignment publishes an assignment to all hosts if this process controls one of its cells.
func (l *Loop) publishAssignment(r gwtable.Record) {
	for _, c := range r.Assignment.Cells {
		if c.Controller != l.instance {
			continue
		}
		l.publish(gwtable.AssignmentItem(r), nil)
		return
	}
}

func (l *Loop) publish(item gw.Item, err error) {
	if err == nil {
		err = l.publisher.Publish(item)
	}
	if err != nil {
		l.log.Error("item was not published", "topic", string(item.Topic), "error", err)
	}
}

// report counts and logs a change of state. Positions of keys are not logged, since positions of some tenants must not
// leave their home regions.
func (l *Loop) report(c *cell, ev gwlease.Event) {
	l.counters.events.WithLabelValues(string(ev.Kind)).Inc()
	level := slog.LevelInfo
	switch ev.Kind {
	case gwlease.EventRangeMoved, gwlease.EventRangeSplit, gwlease.EventRangeMerged,
		gwlease.EventMoveRefused, gwlease.EventCommitConflict:
		// These can be frequent: the loss of one server moves many ranges at once, and two controllers may propose the
		// same move. The metric counts them.
		level = slog.LevelDebug
	}
	l.log.Log(context.Background(), level, "cell changed",
		slog.String("event", string(ev.Kind)),
		slog.String("cell", c.id.String()),
		slog.String("server", string(ev.Server)),
		slog.String("to", string(ev.To)),
		slog.String("host", string(ev.Host)),
		slog.Uint64("epoch", uint64(ev.Epoch)),
		slog.Uint64("revision", uint64(ev.Revision)),
		slog.String("detail", ev.Detail),
	)
}
