package gwserver

import (
	"errors"
	"net/http"
	"reflect"
	"testing"

	gw "github.com/geraniumworks/geraniumworks"
)

// Guards against an answer that makes the adapter panic, or that counts as acceptance or as a known refusal
// although it cannot be attributed to a run of the server.
func FuzzDecodeStatus(f *testing.F) {
	f.Fuzz(func(t *testing.T, code int, body []byte) {
		status, err := decodeStatus(reply{status: code, body: body}, "s1")
		refused := errors.Is(err, gw.ErrStaleEpoch) || errors.Is(err, gw.ErrStaleRevision) ||
			errors.Is(err, gw.ErrOtherIncarnation) || errors.Is(err, gw.ErrPastDeadline)
		switch {
		case err == nil && code != http.StatusOK, refused && code != http.StatusConflict:
			t.Fatalf("status %d gives %v", code, err)
		case (err == nil || refused) && (status.Server != "s1" || status.Incarnation == ""):
			t.Fatalf("accepted %+v with error %v", status, err)
		case err != nil && !refused && !reflect.DeepEqual(status, gw.ServerStatus{}):
			t.Fatalf("status %+v with error %v", status, err)
		}
	})
}

// Guards against a load report with values that no server can have.
func FuzzDecodeLoad(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		report, err := decodeLoad(reply{status: http.StatusOK, body: body}, "s1")
		if err == nil && (report.Server != "s1" || report.InFlight < 0 || report.Slots < 0 ||
			report.Utilisation < 0 || report.AgeMilliseconds < 0) {
			t.Fatalf("accepted %+v", report)
		}
	})
}
