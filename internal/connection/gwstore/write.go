package gwstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// errNotSent reports that no byte of a write has left.
var errNotSent = errors.New("nothing was sent")

// CompareAndSwap writes data under key if the key's version is still expected. The write is sent at most
// once: another endpoint is tried only when no byte has left. When ctx ends after a byte may have left, the
// error is both gw.ErrWriteUnknown and that of ctx.
func (s *Store) CompareAndSwap(
	ctx context.Context, key string, expected gw.StoreVersion, data []byte,
) (gw.StoreVersion, error) {
	if len(data) > gw.MaxValueBytes {
		s.count(ctx, kindCompareAndSwap, resultTooLarge)
		return 0, eris.Wrapf(gw.ErrValueTooLarge, "%d bytes", len(data))
	}
	if err := checkKey(key); err != nil {
		return 0, err
	}
	body, err := json.Marshal(swapMessage{Key: key, Expected: expected, Data: data})
	if err != nil {
		return 0, eris.Wrapf(gw.ErrStoreUnavailable, "encode: %v", err)
	}
	req := request{
		kind: kindCompareAndSwap, path: pathCompareAndSwap, body: body,
		timeout: s.options.callTimeout, answerBytes: valueAnswerBytes,
	}
	t, err := s.enter(ctx, req.kind)
	if err != nil {
		return 0, err
	}
	start := s.preferred.Load()
	for attempt := 0; ; attempt++ {
		version, v, err := s.writeOnce(ctx, req, start, attempt, expected)
		if !errors.Is(err, errNotSent) || attempt+1 == len(s.options.endpoints) {
			s.leave(t, v)
			return version, err
		}
	}
}

// writeOnce makes one call and counts it. Its error is errNotSent, beside gw.ErrStoreUnavailable, when another
// endpoint may be tried.
func (s *Store) writeOnce(
	ctx context.Context, req request, start int64, attempt int, expected gw.StoreVersion,
) (gw.StoreVersion, verdict, error) {
	if err := s.take(ctx, req.kind); err != nil {
		return 0, verdictNone, err
	}
	endpoint, index := s.endpoint(start, attempt)
	var sent sentTracker
	rep, err := s.exchange(sent.trace(ctx), endpoint, req)
	if err != nil {
		v, err := s.writeFailed(ctx, endpoint, index, sent.maySent(), err)
		return 0, v, err
	}
	if rep.status == http.StatusOK {
		version, err := decodeVersion(rep.body, expected)
		if err != nil {
			return 0, s.finish(ctx, req.kind, resultWriteUnknown, index), eris.Wrapf(gw.ErrWriteUnknown, "%v", err)
		}
		return version, s.finish(ctx, req.kind, resultOK, index), nil
	}
	result, err := decodeRefusal(rep.status, rep.body)
	if errors.Is(err, errBadAnswer) || errors.Is(err, gw.ErrNotFound) {
		result, err = resultWriteUnknown, eris.Wrapf(gw.ErrWriteUnknown, "%v", err)
	}
	return 0, s.finish(ctx, req.kind, result, index), err
}

// writeFailed counts a write without answer and returns its error.
func (s *Store) writeFailed(
	ctx context.Context, endpoint string, index int64, sent bool, cause error,
) (verdict, error) {
	const kind = kindCompareAndSwap
	switch {
	case sent && ctx.Err() != nil:
		s.count(ctx, kind, resultWriteUnknown)
		return verdictNone, fmt.Errorf("%w: %w at %s", gw.ErrWriteUnknown, ctx.Err(), endpoint)
	case sent:
		return s.finish(ctx, kind, resultWriteUnknown, index),
			eris.Wrapf(gw.ErrWriteUnknown, "no answer from %s: %v", endpoint, cause)
	case ctx.Err() != nil:
		s.count(ctx, kind, resultCancelled)
		return verdictNone, eris.Wrapf(ctx.Err(), "store %s", kind)
	default:
		return s.finish(ctx, kind, resultUnavailable, index),
			fmt.Errorf("%w: %w to %s: %s", gw.ErrStoreUnavailable, errNotSent, endpoint, cause.Error())
	}
}
