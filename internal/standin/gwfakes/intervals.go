package gwfakes

import (
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// checkSorted returns gw.ErrBadRange unless the ranges are valid, in order and disjoint.
func checkSorted(ranges []gw.GrantedRange) error {
	for i, r := range ranges {
		if r.Last < r.First || (i > 0 && r.First <= ranges[i-1].Last) {
			return eris.Wrapf(gw.ErrBadRange, "range %d of the list", i)
		}
	}
	return nil
}

func checkRanges(ranges []gw.Range) error {
	for i, r := range ranges {
		if r.Last < r.First {
			return eris.Wrapf(gw.ErrBadRange, "range %d of the release", i)
		}
	}
	return nil
}

// subtract returns the parts of held that are in none of the ranges. They keep their tokens.
func subtract(held []gw.GrantedRange, ranges []gw.Range) []gw.GrantedRange {
	for _, cut := range ranges {
		var rest []gw.GrantedRange
		for _, h := range held {
			rest = append(rest, without(h, cut)...)
		}
		held = rest
	}
	return held
}

func without(h gw.GrantedRange, cut gw.Range) []gw.GrantedRange {
	if cut.Last < h.First || h.Last < cut.First {
		return []gw.GrantedRange{h}
	}
	var rest []gw.GrantedRange
	if h.First < cut.First {
		rest = append(rest, gw.GrantedRange{Range: gw.Range{First: h.First, Last: cut.First - 1}, Token: h.Token})
	}
	if cut.Last < h.Last {
		rest = append(rest, gw.GrantedRange{Range: gw.Range{First: cut.Last + 1, Last: h.Last}, Token: h.Token})
	}
	return rest
}

// tokenAt returns the token of the range that contains p.
func tokenAt(held []gw.GrantedRange, p gw.Position) (gw.Revision, bool) {
	for _, h := range held {
		if h.Contains(p) {
			return h.Token, true
		}
	}
	return 0, false
}
