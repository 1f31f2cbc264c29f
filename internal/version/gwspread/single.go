package gwspread

import (
	gw "github.com/geraniumworks/geraniumworks"
)

// isolate moves single keys that get more requests than their server bears to the server with the most free capacity.
// Such a key cannot be cut, so that only a faster server, which then gives its other keys away, serves more of it.
func (d *draft) isolate() {
	for _, k := range d.byUtilisation() {
		s := &d.servers[k]
		if !s.own || s.utilisation() <= 1 {
			continue
		}
		for _, i := range s.ranges {
			r := &d.ranges[i]
			if r.touched || r.load <= s.Capacity*singleShare || d.settling(r.Range) {
				continue
			}
			if key, load := d.busiestKey(r); load > s.Capacity*singleShare {
				d.moveKey(r, k, key, load)
			}
		}
	}
}

const (
	// singleShare is the share of a server's capacity above which a single key leaves no room for other keys.
	singleShare = 0.8
	// singleGain is how many times as many requests another server must be able to serve of the key.
	singleGain = 1.3
)

// busiestKey returns the key of the range with the most requests, and their rate.
func (d *draft) busiestKey(r *keyRange) (key gw.Position, load float64) {
	g := d.keyWidth()
	samples := d.samples(r.Range)
	for i := 0; i < len(samples); {
		at, weight := samples[i].Position/g, 0.0
		for ; i < len(samples) && samples[i].Position/g == at; i++ {
			weight += samples[i].Weight
		}
		if weight > load {
			key, load = at*g, weight
		}
	}
	return key, load
}

// moveKey moves one key of a range off the server with index from if another one can serve clearly more of it.
func (d *draft) moveKey(r *keyRange, from int, key gw.Position, load float64) {
	to, free := -1, 0.0
	for _, k := range d.up {
		s := &d.servers[k]
		if room := s.Capacity - max(s.load, 0); k != from && room > free {
			to, free = k, room
		}
	}
	// The key stays where it is when its server only has to give other keys away.
	if to < 0 || min(load, free) <= singleGain*min(load, d.servers[from].Capacity) {
		return
	}
	g := d.keyWidth()
	first := max(key, r.First)
	if first > r.First {
		d.plan.Splits = append(d.plan.Splits, first)
	}
	if last := key + (g - 1); last < r.Last {
		d.plan.Splits = append(d.plan.Splits, last+1)
	}
	r.touched = true
	d.move(first, r.owner, to, load)
}
