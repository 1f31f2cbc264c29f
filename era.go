package geraniumworks

// Era counts how often the store has been restored from an older copy. A restore takes back what was written since
// the copy was made.
type Era uint64

// EraShift is the lowest bit of the era in store versions, revisions and epochs. At 1,000 writes a second the numbers
// of an era last for 34 years.
const EraShift = 40

// numbersPerEra is how many store versions, revisions and epochs there are in an era.
const numbersPerEra = 1 << EraShift

// Era returns the era of the store that has the value. Versions hold its number from 1 on, or zero for a store that is
// never restored.
func (v StoreVersion) Era() Era { return Era(max(v/numbersPerEra, 1) - 1) }

// NextEra returns a version above all of the era and below all of the one that follows.
func (v StoreVersion) NextEra() StoreVersion { return StoreVersion(v.Era()+2) * numbersPerEra }

// Era returns the era in which the revision was committed.
func (r Revision) Era() Era { return Era(r / numbersPerEra) }

// FirstRevision is above all revisions committed in earlier eras.
func (e Era) FirstRevision() Revision { return Revision(e)*numbersPerEra + 1 }

// FirstEpoch is above all epochs committed in earlier eras.
func (e Era) FirstEpoch() Epoch { return Epoch(e)*numbersPerEra + 1 }
