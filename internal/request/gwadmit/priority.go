package gwadmit

import "context"

// Priority is the order in which requests are refused under overload.
type Priority int

// Priorities. Requests with a lower one are refused earlier.
const (
	// PriorityLow is for new requests that can wait, such as those of a batch.
	PriorityLow Priority = iota
	// PriorityNormal is for new requests.
	PriorityNormal
	// PriorityRetry is for another attempt of a request that was accepted before and did not run. Refusing it would
	// waste the work already spent on it. The retry budget limits the number of such attempts.
	PriorityRetry
)

// usableShare returns the share of a service's limit that requests of the priority may use.
func (p Priority) usableShare() float64 {
	switch p {
	case PriorityLow:
		return 0.8
	case PriorityRetry:
		return 1
	default:
		return 0.95
	}
}

type priorityKey struct{}

// WithPriority returns a context with the priority of a request. The default is PriorityNormal.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityNormal
}
