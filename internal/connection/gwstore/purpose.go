package gwstore

import "context"

// Purpose says what a call is for. It selects the read budget and labels the counter, so it must be one of a
// small fixed set of words.
type Purpose string

// PurposeOther is the purpose of calls whose context names none.
const PurposeOther Purpose = "other"

type purposeKey struct{}

// WithPurpose returns a context whose calls to the store have the purpose.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

func purposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}
