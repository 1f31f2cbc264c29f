package gwbudget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwbudget"
)

var begin = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// Guards against ordinary callers that are turned away for what others hold: heads with thousands of lines that wait
// for their turn, beside short requests.
func TestWhoHoldsMostForLongestIsTurnedAway(t *testing.T) {
	const attackers, each = 20, 1 << 20
	l := gwbudget.New(gwbudget.Limits{Bytes: 10 << 20})
	now := begin
	turnedAway := map[*gwbudget.Account]bool{}
	var first *gwbudget.Account
	for n := range attackers {
		ordinary, _ := l.Open(now)
		require.Empty(t, l.Hold(ordinary, gwbudget.HeadBytes(500, 10), now))
		attacker, _ := l.Open(now)
		if n == 0 {
			first = attacker
		}
		now = now.Add(100 * time.Millisecond)
		for _, a := range l.Hold(attacker, each, now) {
			turnedAway[a] = true
		}
		require.False(t, turnedAway[ordinary])
		require.LessOrEqual(t, l.Held(), int64(10<<20))
		now = now.Add(100 * time.Millisecond)
		require.Empty(t, l.Hold(ordinary, 0, now))
	}
	require.True(t, turnedAway[first])
	require.GreaterOrEqual(t, len(turnedAway), attackers-10)
}

// Guards against ordinary callers that are turned away for their age. Their connections have served requests for a
// minute and keep a small buffer between them, as one of some seconds keeps the buffers of its request. Then 100 others
// send a head of 4,073 lines at once.
func TestOrdinaryConnectionsStayWhenOthersFillTheBudget(t *testing.T) {
	const limit, kept, working = 28 << 20, 1 << 10, 52 << 10
	l := gwbudget.New(gwbudget.Limits{Bytes: limit, Connections: 1437})
	var ordinary []*gwbudget.Account
	now := begin
	for range 24 {
		a, _ := l.Open(now)
		ordinary = append(ordinary, a)
	}
	hold := func(bytes int64) {
		for _, a := range ordinary {
			require.Empty(t, l.Hold(a, bytes, now))
		}
	}
	for range 120 {
		hold(working)
		now = now.Add(250 * time.Millisecond)
		hold(kept)
		now = now.Add(250 * time.Millisecond)
	}
	hold(working)
	now = now.Add(6 * time.Second)
	turnedAway := 0
	for range 100 {
		now = now.Add(time.Millisecond)
		stranger, _ := l.Open(now)
		for _, a := range l.Hold(stranger, gwbudget.HeadBytes(16<<10, 4073), now) {
			require.False(t, slices.Contains(ordinary, a), "an ordinary connection is turned away")
			turnedAway++
		}
	}
	require.Positive(t, turnedAway)
}

// Guards against more work that is begun than the memory bears, while the connections that were turned away for it
// still hold what they had: 250 callers with heads of 2,401 lines took a process of 144 MB to 178 MB.
func TestWhatIsTurnedAwayCountsUntilItIsClosed(t *testing.T) {
	const limit = 8 << 20
	l := gwbudget.New(gwbudget.Limits{Bytes: limit})
	require.True(t, l.Fits(limit))
	stranger, _ := l.Open(begin)
	require.Equal(t, []*gwbudget.Account{stranger}, l.Hold(stranger, limit, begin.Add(time.Second)))
	require.Zero(t, l.Held())
	require.False(t, l.Fits(1))
	l.Close(stranger)
	l.Close(stranger)
	require.True(t, l.Fits(limit))
	require.False(t, l.Fits(limit+1))
}

// Guards against connections without requests that keep ordinary callers out, and against running requests that are cut
// off to make room for a new connection.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	l := gwbudget.New(gwbudget.Limits{Connections: 3})
	oldest, none := l.Open(begin)
	require.Empty(t, none)
	l.SetBusy(oldest, true, begin)
	idle, _ := l.Open(begin.Add(time.Second))
	_, none = l.Open(begin.Add(2 * time.Second))
	require.Empty(t, none)
	last, away := l.Open(begin.Add(3 * time.Second))
	require.Equal(t, []*gwbudget.Account{idle}, away)
	for range 2 {
		l.SetBusy(last, true, begin.Add(3*time.Second))
		last, away = l.Open(begin.Add(4 * time.Second))
		require.Len(t, away, 1)
	}
	require.Same(t, last, away[0], "all are busy")
	require.Equal(t, 3, l.Connections())
}

// Guards against a total that drifts from what the connections hold, or stays above the limit.
func TestHeldIsTheSumOfTheConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		l := gwbudget.New(gwbudget.Limits{Bytes: limit, Connections: 20})
		held := map[*gwbudget.Account]int64{}
		var all []*gwbudget.Account
		now := begin
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "passed")) * time.Millisecond)
			var away []*gwbudget.Account
			if len(all) == 0 || rapid.Bool().Draw(t, "open") {
				var a *gwbudget.Account
				a, away = l.Open(now)
				all, held[a] = append(all, a), 0
			} else if a := rapid.SampledFrom(all).Draw(t, "account"); len(held) > 0 {
				bytes := rapid.Int64Range(0, limit).Draw(t, "bytes")
				if _, ok := held[a]; ok {
					held[a] = bytes
				}
				away = l.Hold(a, bytes, now)
			}
			for _, a := range away {
				delete(held, a)
			}
			total := int64(0)
			for _, bytes := range held {
				total += gwbudget.ConnectionBytes + bytes
			}
			require.Equal(t, total, l.Held())
			require.LessOrEqual(t, l.Held(), int64(limit))
		}
		for a := range held {
			l.Close(a)
			l.Close(a)
		}
		require.Zero(t, l.Held())
	})
}
