package gwbroken_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/geraniumworks/geraniumworks/internal/standin/gwbroken"
)

// Guards against tests of broken answers that pass because the sound one is broken too, or a form is the sound one.
func TestOnlyTheSoundFormIsSound(t *testing.T) {
	forms, err := gwbroken.Forms()
	require.NoError(t, err)
	answer := gwbroken.Answer{Status: "201 Created", Fields: "X-Id: 7\r\n", Body: "whole body"}
	sound := forms[0].Write(answer)
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(sound)), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusCreated, resp.StatusCode)
	require.Equal(t, "7", resp.Header.Get("X-Id"))
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, answer.Body, string(body))
	for _, form := range forms[1:] {
		require.NotEqual(t, sound, form.Write(answer), form.Name)
		require.NotContains(t, form.Write(answer), "{", form.Name)
	}
}
