package gwsettings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
)

// Guards against limits that a caller of an ordinary request reaches on the smallest host, against limits on hosts
// whose memory is not known, and against settings that do not replace what is derived.
func TestLimitsOfCallersFollowFromTheMachine(t *testing.T) {
	require.Zero(t, gwsettings.Settings{}.CallerLimits())
	require.Zero(t, gwsettings.Settings{}.MemoryLimit())

	smallest := gwsettings.Settings{MemoryMegabytes: 144, Descriptors: 3075}
	require.Equal(t, gwsettings.Callers{Connections: 1437, HeaderLines: 5461, EmptyLines: 64, HeldMegabytes: 28.8},
		smallest.CallerLimits())
	require.GreaterOrEqual(t, smallest.CallerLimits().HeaderLines*len("a:\n"), 16_384-len("a:\n"), "legal heads")
	require.Less(t, smallest.MemoryLimit(), int64(144<<20))

	smallest.Callers = gwsettings.Callers{Connections: 100, HeaderLines: 50, EmptyLines: 5, HeldMegabytes: 10}
	require.Equal(t, smallest.Callers, smallest.CallerLimits())
}
