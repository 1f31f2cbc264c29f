package geraniumworks

import "errors"

var (
	// ErrConflict reports that a compare-and-swap found another version than the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound reports that the store has no value under the key.
	ErrNotFound = errors.New("not found")
	// ErrWriteUnknown reports that a write to the store may or may not have been applied, now or later.
	ErrWriteUnknown = errors.New("outcome of write is unknown")
	// ErrStoreUnavailable reports that the store did not answer and that the call had no effect.
	ErrStoreUnavailable = errors.New("store is unavailable")
	// ErrCallBudget reports that a call to the store was not made because its budget is used up.
	ErrCallBudget = errors.New("store call budget is used up")
	// ErrValueTooLarge reports a value above MaxValueBytes, or one that is too large to be read back.
	ErrValueTooLarge = errors.New("value is too large for the store")

	// ErrStaleEpoch reports that the receiver has already accepted a higher epoch of the cell.
	ErrStaleEpoch = errors.New("epoch is stale")
	// ErrStaleRevision reports that the receiver has already accepted a higher revision of the assignment.
	ErrStaleRevision = errors.New("revision is stale")
	// ErrOtherIncarnation reports that the message was addressed to another run of the server.
	ErrOtherIncarnation = errors.New("server has another incarnation")
	// ErrOtherInstance reports that the message was addressed to another run of the process.
	ErrOtherInstance = errors.New("process is another instance")
	// ErrPastDeadline reports that the deadline in a message had already passed on the receiver's clock.
	ErrPastDeadline = errors.New("deadline has passed")

	// ErrBadText reports a text that cannot be written so that it is read back unchanged.
	ErrBadText = errors.New("text cannot be encoded")
	// ErrBadRange reports an invalid range or an assignment whose ranges do not cover the key space.
	ErrBadRange = errors.New("bad range")
)

// ConflictError is an ErrConflict with the value that the store has instead.
type ConflictError struct {
	// Current is the value under the key when the store refused the write.
	Current StoredValue
}

// Error implements error.
func (e *ConflictError) Error() string {
	return ErrConflict.Error() + " at " + e.Current.Key
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error {
	return ErrConflict
}
