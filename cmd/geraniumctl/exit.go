package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

// Exit codes, documented in docs/OPERATORS.md.
const (
	exitOK          = 0
	exitFailed      = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitRefused     = 4
	exitUnknown     = 5
	exitUnavailable = 6
	exitNotInForce  = 7
	exitDamaged     = 8
	exitUsage       = 64
)

var (
	errNotInForce = errors.New("not in force on all hosts in time")
	errDiffers    = errors.New("files differ")
)

// usageError reports wrong usage of the tool.
type usageError struct {
	text string
}

func (e *usageError) Error() string {
	return e.text
}

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var invalid gwconfig.Errors
	var conflict *gwpublish.Conflict
	var refused *gwpublish.Refused
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, gwpublish.ErrOutcomeUnknown):
		return exitUnknown
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.Is(err, gwpublish.ErrDamaged):
		return exitDamaged
	case errors.Is(err, gw.ErrStoreUnavailable), errors.Is(err, gw.ErrCallBudget), errors.Is(err, gwpublish.ErrBusy),
		errors.Is(err, context.DeadlineExceeded):
		return exitUnavailable
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

// fail prints an error and returns its exit code.
func (a *app) fail(err error) int {
	code := exitCode(err)
	if code == exitOK || errors.Is(err, errDiffers) {
		return code
	}
	if a.Output == "json" {
		report := struct {
			Error    string              `json:"error"`
			ExitCode int                 `json:"exit-code"`
			Errors   gwconfig.Errors     `json:"errors,omitempty"`
			Conflict *gwpublish.Conflict `json:"conflict,omitempty"`
			Refused  *gwpublish.Refused  `json:"refused,omitempty"`
		}{Error: err.Error(), ExitCode: code}
		errors.As(err, &report.Errors)
		errors.As(err, &report.Conflict)
		errors.As(err, &report.Refused)
		if data, err := json.MarshalIndent(report, "", "  "); err == nil {
			fmt.Fprintln(a.err, string(data))
		}
	} else {
		text := "geraniumctl: " + err.Error()
		if code == exitInvalid {
			// Each line starts with the file, so that editors can go to the place.
			text = err.Error()
		}
		fmt.Fprintln(a.err, text)
		if code == exitUsage {
			fmt.Fprintln(a.err, "geraniumctl --help lists the commands, geraniumctl COMMAND --help shows examples")
		}
	}
	if a.Debug {
		fmt.Fprintln(a.err, eris.ToString(err, true))
	}
	return code
}
