package gwdispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against an expected wait that ignores free slots or waiting requests, or that is given for a server of another
// dispatcher.
func TestExpectedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(WithInstance("i1"))
		cell := gw.CellID{Service: "stamps", DataCentre: "dc1"}
		_, err := d.Renew(gw.DispatchLease{
			Cell: cell, Epoch: 1, Sequence: 1, To: "i1", Deadline: 1 << 40,
			Servers: []gw.DispatchServer{{Name: "s1", Slots: 1}},
		})
		require.NoError(t, err)
		_, ok := d.ExpectedWait("stamps", "s2")
		require.False(t, ok)
		req := gw.SlotRequest{Service: "stamps", Server: "s1", Deadline: time.Now().Add(time.Hour)}
		slot, refusal := d.Acquire(context.Background(), req)
		require.Nil(t, refusal)
		time.Sleep(100 * time.Millisecond)
		slot.Done(gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: time.Now()})
		wait, ok := d.ExpectedWait("stamps", "s1")
		require.True(t, ok)
		require.Zero(t, wait, "a slot is free")
		for range 2 {
			go func() {
				if slot, refusal := d.Acquire(context.Background(), req); refusal == nil {
					time.Sleep(100 * time.Millisecond)
					slot.Done(gw.AttemptResult{Outcome: gw.OutcomeAnswered, Status: 200, End: time.Now()})
				}
			}()
		}
		synctest.Wait()
		wait, _ = d.ExpectedWait("stamps", "s1")
		require.Equal(t, 200*time.Millisecond, wait, "one request runs and one waits")
		time.Sleep(time.Second)
	})
}
