package gwserver

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// refusals are the codes of status 409. The message had no effect on the server.
var refusals = map[string]error{
	"stale-epoch":       gw.ErrStaleEpoch,
	"stale-revision":    gw.ErrStaleRevision,
	"other-incarnation": gw.ErrOtherIncarnation,
	"past-deadline":     gw.ErrPastDeadline,
}

// codeOtherServer is the code of status 409 from a server with another name.
const codeOtherServer = "other-server"

// decodeStatus reads the answer to a control message. With one of the errors in refusals, the status is valid.
func decodeStatus(rep reply, server gw.ServerName) (gw.ServerStatus, error) {
	switch rep.status {
	case http.StatusOK:
		var status gw.ServerStatus
		if err := json.Unmarshal(rep.body, &status); err != nil {
			return gw.ServerStatus{}, eris.Wrapf(ErrBadAnswer, "status: %v", err)
		}
		return checkStatus(status, server)
	case http.StatusConflict:
		return decodeRefusal(rep.body, server)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return gw.ServerStatus{}, eris.Wrapf(ErrNoControl, "status %d", rep.status)
	default:
		return gw.ServerStatus{}, eris.Wrapf(ErrBadAnswer, "status %d", rep.status)
	}
}

func decodeRefusal(body []byte, server gw.ServerName) (gw.ServerStatus, error) {
	var message struct {
		Error  string          `json:"error"`
		Detail string          `json:"detail"`
		Status gw.ServerStatus `json:"status"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return gw.ServerStatus{}, eris.Wrapf(ErrBadAnswer, "refusal: %v", err)
	}
	if message.Error == codeOtherServer {
		return gw.ServerStatus{}, eris.Wrapf(ErrOtherServer, "%s", message.Detail)
	}
	refused, ok := refusals[message.Error]
	if !ok {
		return gw.ServerStatus{}, eris.Wrap(ErrBadAnswer, "refusal without a known code")
	}
	status, err := checkStatus(message.Status, server)
	if err != nil {
		return gw.ServerStatus{}, err
	}
	return status, eris.Wrapf(refused, "server %s: %s", server, message.Detail)
}

// checkStatus refuses a status that cannot be attributed to a run of the server.
func checkStatus(status gw.ServerStatus, server gw.ServerName) (gw.ServerStatus, error) {
	if status.Server != server {
		return gw.ServerStatus{}, eris.Wrapf(ErrOtherServer, "%q instead of %q", status.Server, server)
	}
	if status.Incarnation == "" {
		return gw.ServerStatus{}, eris.Wrap(ErrBadAnswer, "status without incarnation")
	}
	return status, nil
}

// decodeLoad reads a load report. Values that no server can have are refused; all others may still be wrong.
func decodeLoad(rep reply, server gw.ServerName) (gw.LoadReport, error) {
	if rep.status != http.StatusOK {
		return gw.LoadReport{}, eris.Wrapf(ErrBadAnswer, "status %d", rep.status)
	}
	var report gw.LoadReport
	if err := json.Unmarshal(rep.body, &report); err != nil {
		return gw.LoadReport{}, eris.Wrapf(ErrBadAnswer, "load: %v", err)
	}
	if report.Server != server {
		return gw.LoadReport{}, eris.Wrapf(ErrOtherServer, "%q instead of %q", report.Server, server)
	}
	if report.InFlight < 0 || report.Slots < 0 || report.Utilisation < 0 || report.AgeMilliseconds < 0 {
		return gw.LoadReport{}, eris.Wrap(ErrBadAnswer, "load has a negative value")
	}
	return report, nil
}
