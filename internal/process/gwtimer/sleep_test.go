package gwtimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait that ends early, and against one that outlasts its context.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, Sleep(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.False(t, Sleep(ctx, 0), "the context has ended")
	})
}
