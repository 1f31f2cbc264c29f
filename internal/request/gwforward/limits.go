package gwforward

import (
	gw "github.com/geraniumworks/geraniumworks"
)

const (
	// DefaultBodyBytes is the largest permitted request body when the service sets no limit.
	DefaultBodyBytes = 16 << 20
	// DefaultDeadlineMilliseconds is the longest duration of a request when the service sets no deadline.
	DefaultDeadlineMilliseconds = 10_000
	// MaxTimeoutMilliseconds is the longest accepted Gw-Timeout-Milliseconds, one day.
	MaxTimeoutMilliseconds = 24 * 60 * 60 * 1000
)

// BodyLimit returns the largest permitted request body in bytes.
func BodyLimit(limits gw.ServiceLimits) int64 {
	if limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return DefaultBodyBytes
}
