// Package gwtimer provides a sleep that ends with a context.
package gwtimer

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when ctx ends first. It does not wait when d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
