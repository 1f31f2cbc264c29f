package gwadapter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwserver"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwbroken"
)

const serverStatus = `{"server":"s1","incarnation":"run-1","checks-fencing":true}`

// soundAnswers are sound answers to the calls of endlessCalls, and the errors of the calls.
var soundAnswers = []struct {
	name, call string
	answer     gwbroken.Answer
	want       error
}{
	{"described", "server-describe", gwbroken.Answer{Status: "200 OK", Body: serverStatus}, nil},
	{"no control", "server-describe", gwbroken.Answer{Status: "501 Not Implemented", Body: "{}"}, nil},
	{
		"fenced", "server-grant",
		gwbroken.Answer{Status: "409 Conflict", Body: `{"error":"stale-epoch","status":` + serverStatus + `}`},
		gw.ErrStaleEpoch,
	},
	{"healthy", "server-health", gwbroken.Answer{Status: "200 OK"}, nil},
	{"unhealthy", "server-health", gwbroken.Answer{Status: "503 Unhealthy"}, gwserver.ErrUnhealthy},
	{"read", "store-read", gwbroken.Answer{Status: "200 OK", Body: `{"key":"a","version":7,"data":"MQ=="}`}, nil},
	{"missing", "store-read", gwbroken.Answer{Status: "404 Not Found", Body: `{"error":"not-found"}`}, gw.ErrNotFound},
	{"written", "store-write", gwbroken.Answer{Status: "200 OK", Body: `{"version":8}`}, nil},
	{"conflict", "store-write", gwbroken.Answer{Status: "409 Conflict", Body: `{"error":"conflict"}`}, gw.ErrConflict},
	{
		"down", "store-write",
		gwbroken.Answer{Status: "503 Service Unavailable", Body: `{"error":"unavailable"}`},
		gw.ErrStoreUnavailable,
	},
	{"listed", "host-list", gwbroken.Answer{Status: "200 OK", Body: `{"hosts":[],"servers":[]}`}, nil},
}

// Guards against an answer that does not follow HTTP and is believed.
func TestBrokenAnswersAreNotBelieved(t *testing.T) {
	forms, err := gwbroken.Forms()
	require.NoError(t, err)
	for _, c := range soundAnswers {
		for _, form := range forms {
			t.Run(c.name+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				server, err := gwbroken.Start(form.Write(c.answer), gw.HeaderRequestID)
				require.NoError(t, err)
				t.Cleanup(func() { require.NoError(t, server.Close()) })
				err = endlessCalls[c.call](t, server.Address(), fastTimeout)
				require.Positive(t, server.Served())
				switch {
				case form.Name == gwbroken.Sound && c.want == nil:
					require.NoError(t, err)
				case form.Name == gwbroken.Sound:
					require.ErrorIs(t, err, c.want)
				default:
					require.Error(t, err)
					for _, believed := range []error{
						gw.ErrStaleEpoch, gwserver.ErrUnhealthy, gw.ErrNotFound, gw.ErrConflict,
					} {
						require.NotErrorIs(t, err, believed)
					}
					if c.call == "store-write" {
						require.ErrorIs(t, err, gw.ErrWriteUnknown)
					}
				}
			})
		}
	}
}
