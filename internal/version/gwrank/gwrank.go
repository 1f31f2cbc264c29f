// Package gwrank orders names by rendezvous hashing.
package gwrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns names sorted by their rendezvous score for subject, highest first. All processes that know the
// same names get the same order, and the removal of one name leaves the others in their order.
func Order[N ~string](subject string, names []N) []N {
	type scored struct {
		name  N
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, n := range names {
		all = append(all, scored{name: n, score: score(subject, string(n))})
	}
	slices.SortFunc(all, func(x, y scored) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.name, y.name))
	})
	ordered := make([]N, 0, len(all))
	for _, s := range all {
		ordered = append(ordered, s.name)
	}
	return ordered
}

// First returns the name with the highest rendezvous score for subject, or the empty name when there is none.
func First[N ~string](subject string, names []N) N {
	var best N
	var bestScore uint64
	for i, n := range names {
		s := score(subject, string(n))
		if i == 0 || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}

// separator cannot occur in names, so that different pairs never hash the same text.
const separator = "\x00"

func score(subject, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(subject)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
