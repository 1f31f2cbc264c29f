package gwpeer

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	gw "github.com/geraniumworks/geraniumworks"
)

// Methods of the protocol between hosts.
const (
	methodProbe           = "control.probe"
	methodHandover        = "control.handover"
	methodRenewDispatch   = "dispatch.renew"
	methodReleaseDispatch = "dispatch.release"
	methodPull            = "feed.pull"
	methodOffer           = "feed.offer"
	methodShareQuota      = "quota.share"
)

// Error codes of refusals, in the range that JSON-RPC leaves to applications.
const (
	codeStaleEpoch    int64 = 1001
	codeOtherInstance int64 = 1002
	codePastDeadline  int64 = 1003
	codeStaleRevision int64 = 1004
)

var refusals = map[int64]error{
	codeStaleEpoch:    gw.ErrStaleEpoch,
	codeOtherInstance: gw.ErrOtherInstance,
	codePastDeadline:  gw.ErrPastDeadline,
	codeStaleRevision: gw.ErrStaleRevision,
}

// toWire converts an error of a handler to an error of the protocol.
func toWire(err error) *jsonrpc2.Error {
	for code, refusal := range refusals {
		if errors.Is(err, refusal) {
			return &jsonrpc2.Error{Code: code, Message: err.Error()}
		}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// fromWire converts an error of the protocol back, and reads the result that comes with a refusal. Errors of the
// connection are returned as they are.
func fromWire(err error, result any) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return err
	}
	refusal, ok := refusals[wire.Code]
	if !ok {
		return err
	}
	if wire.Data != nil {
		if err := json.Unmarshal(*wire.Data, result); err != nil {
			return eris.Wrapf(err, "decode what comes with the refusal %q", refusal)
		}
	}
	return refusal
}

// isRefusal reports whether the receiver answered with an error, so that the connection is in order.
func isRefusal(err error) bool {
	var wire *jsonrpc2.Error
	return errors.As(err, &wire)
}
