package gwpeer_test

import (
	"context"
	"encoding/json"
	"flag"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
)

// init fixes the seed of property tests, so that CI gives the same verdict each time.
func init() {
	if err := flag.Set("rapid.seed", "20261205"); err != nil {
		panic(err)
	}
}

// drawConfig draws the values that messages may hold: numbers that are finite, and JSON as an item's data.
var drawConfig = rapid.MakeConfig{
	Types: map[reflect.Type]*rapid.Generator[any]{
		reflect.TypeFor[json.RawMessage](): rapid.SampledFrom([]any{json.RawMessage(nil), json.RawMessage(`{"a":1}`)}),
		reflect.TypeFor[*gw.Assignment]():  rapid.Just[any]((*gw.Assignment)(nil)),
	},
	Kinds: map[reflect.Kind]*rapid.Generator[any]{
		reflect.Float64: rapid.OneOf(rapid.Float64Range(0, math.MaxFloat64),
			rapid.SampledFrom([]float64{0, math.SmallestNonzeroFloat64, math.MaxFloat64})).AsAny(),
	},
}

// echo answers each call with the reply that was drawn for it, and keeps the request.
type echo struct {
	request any
	reply   any
}

func exchange[R any](e *echo, req any) R {
	e.request = req
	return e.reply.(R)
}

func (e *echo) Probe(_ context.Context, r gw.ProbeRequest) (gw.ProbeReply, error) {
	return exchange[gw.ProbeReply](e, r), nil
}

func (e *echo) Handover(_ context.Context, r gw.HandoverRequest) (gw.HandoverReply, error) {
	return exchange[gw.HandoverReply](e, r), nil
}

func (e *echo) RenewDispatch(_ context.Context, r gw.DispatchLease) (gw.DispatchStatus, error) {
	return exchange[gw.DispatchStatus](e, r), nil
}

func (e *echo) ReleaseDispatch(_ context.Context, r gw.DispatchRelease) (gw.DispatchStatus, error) {
	return exchange[gw.DispatchStatus](e, r), nil
}

func (e *echo) Pull(_ context.Context, r gw.PullRequest) (gw.PullReply, error) {
	return exchange[gw.PullReply](e, r), nil
}

func (e *echo) Offer(_ context.Context, r gw.OfferRequest) (gw.OfferReply, error) {
	return exchange[gw.OfferReply](e, r), nil
}

func (e *echo) ShareQuota(_ context.Context, r gw.QuotaRequest) (gw.QuotaReply, error) {
	return exchange[gw.QuotaReply](e, r), nil
}

// Guards against a message between hosts that is read as another one, or not at all, because of a value in it.
func TestMessagesAreReadAsTheyAreSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &echo{}
	serve(t, listener, e)
	client := gwpeer.NewClient()
	defer func() { require.NoError(t, client.Close()) }()
	t.Run("probe", func(t *testing.T) { checkExchange(t, e, listener, client.Probe) })
	t.Run("handover", func(t *testing.T) { checkExchange(t, e, listener, client.Handover) })
	t.Run("renew", func(t *testing.T) { checkExchange(t, e, listener, client.RenewDispatch) })
	t.Run("release", func(t *testing.T) { checkExchange(t, e, listener, client.ReleaseDispatch) })
	t.Run("pull", func(t *testing.T) { checkExchange(t, e, listener, client.Pull) })
	t.Run("offer", func(t *testing.T) { checkExchange(t, e, listener, client.Offer) })
	t.Run("share quota", func(t *testing.T) { checkExchange(t, e, listener, client.ShareQuota) })
}

func checkExchange[P, R any](
	t *testing.T, e *echo, listener net.Listener, call func(context.Context, string, P) (R, error),
) {
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.MakeCustom[P](drawConfig).Draw(t, "request")
		reply := rapid.MakeCustom[R](drawConfig).Draw(t, "reply")
		e.reply = reply
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		got, err := call(ctx, listener.Addr().String(), request)
		require.NoError(t, err)
		require.Equal(t, withoutEmpty(request), withoutEmpty(e.request.(P)))
		require.Equal(t, withoutEmpty(reply), withoutEmpty(got))
	})
}

// withoutEmpty replaces empty slices and maps in a value by nil, since messages do not tell them apart.
func withoutEmpty[T any](value T) T {
	clearEmpty(reflect.ValueOf(&value).Elem())
	return value
}

func clearEmpty(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			clearEmpty(v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			v.SetZero()
		}
		for i := range v.Len() {
			clearEmpty(v.Index(i))
		}
	case reflect.Map:
		if v.Len() == 0 {
			v.SetZero()
		}
	case reflect.Pointer:
		if !v.IsNil() {
			clearEmpty(v.Elem())
		}
	}
}
