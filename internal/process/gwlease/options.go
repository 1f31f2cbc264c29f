package gwlease

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	gw "github.com/geraniumworks/geraniumworks"
)

// Timing holds the durations of the protocol. All hosts must use the same values, because the successor of a
// controller relies on the session and authority durations of its predecessor.
type Timing struct {
	// Session is how long a grant extends a session after the clock reading it is based on.
	Session time.Duration
	// Lease is how long a lease extends a dispatcher's right to send, from the clock reading it is based on.
	Lease time.Duration
	// LeaseOverrun is how long a dispatcher may keep sending after its lease has ended, to servers that check
	// fencing or whose service is not divided by key.
	LeaseOverrun time.Duration
	// Authority is how long a controller may act after it sent the last read whose answer named it.
	Authority time.Duration
	// ClockRatePercent bounds the difference in rate between two clocks, ClockMargin covers their granularity.
	ClockRatePercent int
	ClockMargin      time.Duration
	// RenewEvery, LeaseEvery, DescribeEvery, ProbeEvery and ReadEvery are intervals between requests.
	RenewEvery    time.Duration
	LeaseEvery    time.Duration
	DescribeEvery time.Duration
	ProbeEvery    time.Duration
	ReadEvery     time.Duration
	// CandidateReadEvery is the interval between reads by a candidate. A candidate also learns of commits from the
	// feed, and reads before it takes over.
	CandidateReadEvery time.Duration
	// ProbeTimeout is the timeout of probes and handovers. It is shorter than ProbeEvery, so that the third missed
	// probe is known within 2 s of the last answer.
	ProbeTimeout time.Duration
	// ProbeMisses is the number of unanswered probes after which the first candidate takes over.
	ProbeMisses int
	// RequestTimeout, ReleaseTimeout and StoreTimeout are the timeouts of the other requests.
	RequestTimeout time.Duration
	// GrantTimeout is the timeout of a grant to a server with range fences. The connection of an unanswered grant is
	// reset by then, so that the grant cannot arrive later.
	GrantTimeout   time.Duration
	ReleaseTimeout time.Duration
	StoreTimeout   time.Duration
	// LostAfter is the silence after which a server without sessions is released from its dispatcher.
	LostAfter time.Duration
	// CommitEvery is the minimum interval between commits of one controller while the record is contended.
	CommitEvery time.Duration
	// HandoverWait is how long a stopping controller continues while the store does not answer.
	HandoverWait time.Duration
	// DirectoryWait is how long a new controller waits for answers from dispatchers before it publishes a directory.
	DirectoryWait time.Duration
}

// DefaultTiming returns the values of docs/design.md, sections 2 and 4.
func DefaultTiming() Timing {
	return Timing{
		Session: 2 * time.Second, Lease: time.Second, Authority: 75 * time.Minute,
		ClockRatePercent: 5, ClockMargin: 100 * time.Millisecond,
		RenewEvery: 500 * time.Millisecond, LeaseEvery: 300 * time.Millisecond, DescribeEvery: 2 * time.Second,
		ProbeEvery: 500 * time.Millisecond, ProbeTimeout: 300 * time.Millisecond,
		ReadEvery: 10 * time.Second, CandidateReadEvery: 10 * time.Second, ProbeMisses: 3,
		RequestTimeout: 1500 * time.Millisecond, GrantTimeout: 500 * time.Millisecond,
		ReleaseTimeout: 5 * time.Second, StoreTimeout: 2 * time.Second,
		LostAfter: 3 * time.Second, HandoverWait: 4 * time.Second, CommitEvery: 200 * time.Millisecond,
		DirectoryWait: 300 * time.Millisecond,
	}
}

// upperBound returns the longest time that can pass on the Core's clock while d passes on another process's clock.
func (t Timing) upperBound(d time.Duration) time.Duration {
	return d + d*time.Duration(t.ClockRatePercent)/100 + t.ClockMargin
}

// faults are protocol errors that tests inject to prove that the property tests detect them.
type faults struct {
	noSessionMargin     bool // a session is trusted to end without the clock margin
	noEpochCheck        bool // a commit is repeated on a record that names another controller
	grantBeforeCommit   bool // the new owner is granted a range while its commit is outstanding
	moveUnfenced        bool // a new controller treats servers that it has not reached as expired
	clearUnproven       bool // a controller records that its predecessors have stopped without proof
	replaceSingleSender bool // a lease for an unchecked server is replaced when it has expired
	noFreshRead         bool // a session starts without a read after the incarnation was seen
	trustOldIncarnation bool // a late answer of a former incarnation counts as a restart
	restoreUncommitted  bool // a server back from expiry is granted ranges of an unresolved commit
	noFloor             bool // a release carries no floor
	holdFromSending     bool // a hold is taken to count from the sending of its grant
	releaseUncertain    bool // a release is sent while earlier grants may still be applied
	keepToken           bool // the token of a grant does not rise with the epoch
	trustCopy           bool // owners in a record from an older copy of the store are granted their ranges
	settleUnproven      bool // an owner counts as certain though the server has not confirmed it since a restore
	settleEarly         bool // an owner counts as certain while former controllers may still grant
	forgetUncertain     bool // a commit of unknown outcome is taken as not applied after a restore
	reuseRevisions      bool // revisions continue from the one in an older copy of the store
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
