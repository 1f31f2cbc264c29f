package gwstore

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
)

// errUnchanged reports that a watch call ended without a newer version.
var errUnchanged = errors.New("unchanged")

// Get returns the value under key, or gw.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (gw.StoredValue, error) {
	if err := checkKey(key); err != nil {
		return gw.StoredValue{}, err
	}
	req := request{
		kind: kindGet, path: pathValue, query: url.Values{"key": {key}}.Encode(),
		timeout: s.options.callTimeout, answerBytes: valueAnswerBytes,
	}
	var value gw.StoredValue
	err := s.read(ctx, req, func(body []byte) (err error) {
		value, err = decodeValue(body, key, 0)
		return err
	})
	return value, err
}

// List returns all values whose key starts with prefix, ordered by key.
func (s *Store) List(ctx context.Context, prefix string) ([]gw.StoredValue, error) {
	req := request{
		kind: kindList, path: pathValues, query: url.Values{"prefix": {prefix}}.Encode(),
		timeout: s.options.callTimeout, answerBytes: listAnswerBytes,
	}
	var values []gw.StoredValue
	err := s.read(ctx, req, func(body []byte) (err error) {
		values, err = decodeList(body, prefix)
		return err
	})
	return values, err
}

// Watch waits until the version under key is above after and returns the value. It repeats the call to the
// store as long as nothing changes. While the store is out, it waits for a random time before it tries; the
// caller may therefore call it again at once after gw.ErrStoreUnavailable.
func (s *Store) Watch(ctx context.Context, key string, after gw.StoreVersion) (gw.StoredValue, error) {
	if err := checkKey(key); err != nil {
		return gw.StoredValue{}, err
	}
	query := url.Values{
		"key":               {key},
		"after":             {strconv.FormatUint(uint64(after), 10)},
		"wait-milliseconds": {"0"},
	}
	probe := query.Encode()
	query.Set("wait-milliseconds", strconv.FormatInt(s.options.watchWait.Milliseconds(), 10))
	req := request{
		kind: kindWatch, path: pathWatch, query: query.Encode(), probeQuery: probe,
		timeout: s.options.watchWait + s.options.callTimeout, answerBytes: valueAnswerBytes,
	}
	for {
		var value gw.StoredValue
		err := s.read(ctx, req, func(body []byte) (err error) {
			value, err = decodeValue(body, key, after)
			return err
		})
		if !errors.Is(err, errUnchanged) {
			return value, err
		}
	}
}

// read makes a call that has no effect, in rounds with random waits between them.
func (s *Store) read(ctx context.Context, req request, decode func([]byte) error) error {
	rounds := max(s.options.readRounds, 1)
	for round := 0; ; round++ {
		if round > 0 {
			if !gwtimer.Sleep(ctx, s.options.backoff.draw(round)) {
				return eris.Wrapf(ctx.Err(), "store %s", req.kind)
			}
		}
		err := s.readRound(ctx, req, decode)
		if !errors.Is(err, gw.ErrStoreUnavailable) || errors.Is(err, errHeldBack) || round+1 >= rounds {
			return err
		}
	}
}

// readRound tries the endpoints in turn, beginning with the one that answered last. It is one call for the
// gate, so that an endpoint that works is reached although others are out.
func (s *Store) readRound(ctx context.Context, req request, decode func([]byte) error) error {
	t, err := s.enter(ctx, req.kind)
	if err != nil {
		return err
	}
	if t.probe && req.probeQuery != "" {
		req.query = req.probeQuery
	}
	start := s.preferred.Load()
	for attempt := range s.options.endpoints {
		var v verdict
		if v, err = s.readOnce(ctx, req, start, attempt, decode); v != verdictFailed {
			s.leave(t, v)
			return err
		}
	}
	s.leave(t, verdictFailed)
	return err
}

// readOnce makes one call and counts it.
func (s *Store) readOnce(
	ctx context.Context, req request, start int64, attempt int, decode func([]byte) error,
) (verdict, error) {
	if err := s.take(ctx, req.kind); err != nil {
		return verdictNone, err
	}
	endpoint, index := s.endpoint(start, attempt)
	rep, err := s.exchange(ctx, endpoint, req)
	result := resultOK
	switch {
	case err != nil && ctx.Err() != nil:
		s.count(ctx, req.kind, resultCancelled)
		return verdictNone, eris.Wrapf(ctx.Err(), "store %s", req.kind)
	case err != nil:
		result, err = resultUnavailable, eris.Wrapf(gw.ErrStoreUnavailable, "%s at %s: %v", req.kind, endpoint, err)
	case rep.status == http.StatusNoContent && req.kind == kindWatch:
		result, err = resultUnchanged, errUnchanged
	case rep.status == http.StatusOK:
		if err = decode(rep.body); err != nil {
			result = resultBadAnswer
		}
	default:
		result, err = decodeRefusal(rep.status, rep.body)
	}
	if errors.Is(err, errBadAnswer) {
		err = eris.Wrapf(gw.ErrStoreUnavailable, "%s at %s: %v", req.kind, endpoint, err)
	}
	return s.finish(ctx, req.kind, result, index), err
}
