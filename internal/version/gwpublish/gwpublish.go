// Package gwpublish publishes configuration into the store, reads it back, and keeps the audit trail.
package gwpublish

import "errors"

// Keys in the store.
const (
	// CurrentKey holds the manifest of the configuration in force.
	CurrentKey = "config/current"
	fileKeys   = "config/file/"
	auditKeys  = "audit/"
)

var (
	// ErrOutcomeUnknown reports that a change may or may not have been accepted, now or later.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrBusy reports that a change was not accepted because others kept publishing.
	ErrBusy = errors.New("gave up because others keep publishing; nothing was changed")
	// ErrNoVersion reports a version that was never published.
	ErrNoVersion = errors.New("configuration version was never published")
	// ErrDamaged reports a manifest, file or audit entry that does not match its SHA-256 or cannot be read.
	ErrDamaged = errors.New("published data is damaged")
	// ErrLaterFormat reports a manifest that a later version of the program wrote.
	ErrLaterFormat = errors.New("manifest was written by a later version of geraniumctl; use that version")
	// ErrTooLarge reports a change that is too large for one manifest or audit entry.
	ErrTooLarge = errors.New("change is too large")
	// ErrNotListed reports a file, or a thing out of service, that the configuration in force does not list.
	ErrNotListed = errors.New("not in the configuration in force")
)
