package gwlease

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	gw "github.com/geraniumworks/geraniumworks"
)

// Timing holds the lengths of time of the protocol. All hosts must use the same values, since the successor
// of a controller relies on the session and the authority of its predecessor.
type Timing struct {
	// Session is how long a grant extends a session after the clock reading it is based on.
	Session time.Duration
	// Lease is the same for a dispatcher's lease.
	Lease time.Duration
	// LeaseOverrun is how long a dispatcher goes on after its lease has ended, for servers that see to their keys
	// themselves.
	LeaseOverrun time.Duration
	// Authority is how long a controller may act after it sent its last read that named it.
	Authority time.Duration
	// RatePercent bounds the relative rate of two clocks, ClockMargin their granularity.
	RatePercent int
	ClockMargin time.Duration
	// RenewEvery, LeaseEvery, DescribeEvery, ProbeEvery and ReadEvery are intervals between requests.
	RenewEvery    time.Duration
	LeaseEvery    time.Duration
	DescribeEvery time.Duration
	ProbeEvery    time.Duration
	ReadEvery     time.Duration
	// CandidateReadEvery is the interval between reads of a candidate, which learns of commits from the feed too and reads
	// before it takes over.
	CandidateReadEvery time.Duration
	// ProbeTimeout is how long the answer to a probe or a handover is waited for. It is shorter than ProbeEvery,
	// so that the third miss is known within 2 s of the last answer.
	ProbeTimeout time.Duration
	// Misses is the number of probes without answer after which the first candidate takes over.
	Misses int
	// RequestTimeout, ReleaseTimeout and StoreTimeout are how long answers are waited for.
	RequestTimeout time.Duration
	// GrantTimeout is how long the answer to a grant to a server with range fences is waited for. The connection of a
	// grant without answer is reset by then, so that it cannot arrive later.
	GrantTimeout   time.Duration
	ReleaseTimeout time.Duration
	StoreTimeout   time.Duration
	// LostAfter is the silence after which a server without session is released from its dispatcher.
	LostAfter time.Duration
	// CommitEvery is the shortest time between two commits of changes by one controller while the record is contended.
	CommitEvery time.Duration
	// HandoverWait is how long a controller that stops goes on while the store does not answer.
	HandoverWait time.Duration
	// DirectoryWait is how long a new controller waits for dispatchers before it publishes a directory.
	DirectoryWait time.Duration
}

// DefaultTiming returns the values of docs/design.md, sections 2 and 4.
func DefaultTiming() Timing {
	return Timing{
		Session: 2 * time.Second, Lease: time.Second, Authority: 75 * time.Minute,
		RatePercent: 5, ClockMargin: 100 * time.Millisecond,
		RenewEvery: 500 * time.Millisecond, LeaseEvery: 300 * time.Millisecond, DescribeEvery: 2 * time.Second,
		ProbeEvery: 500 * time.Millisecond, ProbeTimeout: 300 * time.Millisecond,
		ReadEvery: 10 * time.Second, CandidateReadEvery: 10 * time.Second, Misses: 3,
		RequestTimeout: 1500 * time.Millisecond, GrantTimeout: 500 * time.Millisecond,
		ReleaseTimeout: 5 * time.Second, StoreTimeout: 2 * time.Second,
		LostAfter: 3 * time.Second, HandoverWait: 4 * time.Second, CommitEvery: 200 * time.Millisecond,
		DirectoryWait: 300 * time.Millisecond,
	}
}

// bound returns the longest time on the Core's clock during which d passes on another process's clock.
func (t Timing) bound(d time.Duration) time.Duration {
	return d + d*time.Duration(t.RatePercent)/100 + t.ClockMargin
}

// faults are protocol errors that tests plant to prove that the property test finds them.
type faults struct {
	noSessionMargin     bool // a session is trusted to end without the clock margin
	noEpochCheck        bool // a commit is repeated on a record that names another controller
	grantBeforeCommit   bool // the new owner is granted a range while its commit is outstanding
	moveUnreached       bool // a new controller treats servers that it has not reached as expired
	replaceSender       bool // a lease for an unchecked server is replaced when it has expired
	noFreshRead         bool // a session starts without a read after the incarnation was seen
	trustOldIncarnation bool // a late answer of a former incarnation counts as a restart
	restoreUncommitted  bool // a server back from expiry is granted ranges of an unresolved commit
	noFloor             bool // a release carries no floor
	holdFromSending     bool // a hold is taken to count from the sending of its grant
	releaseUncertain    bool // a release is sent while earlier grants may still be applied
	sameFence           bool // the token of a grant does not rise with the epoch
}

type options struct {
	host     gw.HostName
	instance gw.InstanceID
	cell     gw.CellID
	region   gw.RegionName
	timing   Timing
	writeIDs func() string
	faults   faults
}

// Option sets an option of a Core.
type Option func(*options)

// WithHost sets the name of the host that runs the Core and the instance id of its process.
func WithHost(name gw.HostName, instance gw.InstanceID) Option {
	return func(o *options) { o.host, o.instance = name, instance }
}

// WithCell sets the cell and the region that its data centre belongs to.
func WithCell(cell gw.CellID, region gw.RegionName) Option {
	return func(o *options) { o.cell, o.region = cell, region }
}

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option {
	return func(o *options) { o.timing = t }
}

// WithWriteIDs sets the source of write ids. They must be unique over all instances; the default numbers the
// commits of the instance.
func WithWriteIDs(next func() string) Option {
	return func(o *options) { o.writeIDs = next }
}

func newOptions(opts []Option) options {
	o := options{timing: DefaultTiming()}
	for _, opt := range opts {
		opt(&o)
	}
	if o.writeIDs == nil {
		n := 0
		o.writeIDs = func() string {
			n++
			return string(o.instance) + "/" + o.cell.String() + "/" + strconv.Itoa(n)
		}
	}
	return o
}

// hash returns a hash of texts, each prefixed with its length so that different lists never look the same.
func hash(texts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range texts {
		_, _ = d.WriteString(strconv.Itoa(len(s)) + ":" + s)
	}
	return d.Sum64()
}
