package gwplace_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	gw "github.com/geraniumworks/geraniumworks"
)

const (
	virtualNodes = 128
	// boundedFactor is the load, as a multiple of the mean, that bounded-load hashing permits.
	boundedFactor = 1.25
)

// rule assigns keys, sorted by position, to servers by their names alone; it returns indices of servers.
type hashRule func(keys []gw.Position, rates []float64, servers []gw.ServerName) []int

var baselines = []struct {
	name string
	rule hashRule
}{
	{"consistent", consistentHashing},
	{"rendezvous", rendezvousHashing},
	{"bounded-load", boundedLoadHashing},
	{"static-ranges", staticRanges},
}

type ringNode struct {
	at     uint64
	server int
}

func hashNode(name gw.ServerName, n uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(name), n))
}

func ring(servers []gw.ServerName) []ringNode {
	var nodes []ringNode
	for i, s := range servers {
		for n := range virtualNodes {
			nodes = append(nodes, ringNode{hashNode(s, uint64(n)), i})
		}
	}
	slices.SortFunc(nodes, func(a, b ringNode) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return nodes
}

func consistentHashing(keys []gw.Position, _ []float64, servers []gw.ServerName) []int {
	return walkRing(keys, servers, func(int, int) bool { return true })
}

// boundedLoadHashing passes keys on along the ring when a server has boundedFactor times the mean load.
func boundedLoadHashing(keys []gw.Position, rates []float64, servers []gw.ServerName) []int {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	limit := boundedFactor * total / float64(len(servers))
	loads := make([]float64, len(servers))
	return walkRing(keys, servers, func(key, server int) bool {
		if loads[server]+rates[key] > limit {
			return false
		}
		loads[server] += rates[key]
		return true
	})
}

func walkRing(keys []gw.Position, servers []gw.ServerName, accept func(key, server int) bool) []int {
	nodes := ring(servers)
	owners := make([]int, len(keys))
	at := 0
	for i, k := range keys {
		for at < len(nodes) && nodes[at].at < uint64(k) {
			at++
		}
		owners[i] = nodes[at%len(nodes)].server
		for step := range len(nodes) {
			if s := nodes[(at+step)%len(nodes)].server; accept(i, s) {
				owners[i] = s
				break
			}
		}
	}
	return owners
}

func rendezvousHashing(keys []gw.Position, _ []float64, servers []gw.ServerName) []int {
	seeds := make([]uint64, len(servers))
	for i, s := range servers {
		seeds[i] = xxhash.Sum64String(string(s))
	}
	owners := make([]int, len(keys))
	var buf [16]byte
	for i, k := range keys {
		binary.LittleEndian.PutUint64(buf[:], uint64(k))
		best := uint64(0)
		for j, seed := range seeds {
			binary.LittleEndian.PutUint64(buf[8:], seed)
			if h := xxhash.Sum64(buf[:]); h >= best {
				best, owners[i] = h, j
			}
		}
	}
	return owners
}

// staticRanges divides the positions evenly among the servers in the order of their names.
func staticRanges(keys []gw.Position, _ []float64, servers []gw.ServerName) []int {
	width := math.MaxUint64/uint64(len(servers)) + 1
	owners := make([]int, len(keys))
	for i, k := range keys {
		owners[i] = int(uint64(k) / width)
	}
	return owners
}

// hashingRun is the owner of a baseline.
type hashingRun struct {
	assign     hashRule
	owners     []int
	serversKey string
	loads      []float64
}

func (h *hashingRun) step(now int, r *region, storeDown bool, f *figures) []float64 {
	var up []gw.ServerName
	var index []int
	for i, s := range r.servers {
		if s.state == gw.ServerUp || s.state == gw.ServerSuspect {
			up, index = append(up, s.name), append(index, i)
		}
	}
	key := fmt.Sprint(up)
	if (key != h.serversKey && !storeDown) || now%60 == 0 {
		if key == h.serversKey || !storeDown {
			next := h.assign(r.keys, r.rates, up)
			for i := range next {
				next[i] = index[next[i]]
				if h.owners != nil && h.owners[i] != next[i] {
					f.move(now, 1, r.rates[i], r)
				}
			}
			h.owners, h.serversKey = next, key
		}
		h.loads = make([]float64, len(r.servers))
		for i, o := range h.owners {
			h.loads[o] += r.rates[i]
		}
	}
	return h.loads
}

func (h *hashingRun) countLost(_ *region, server int, seconds float64, f *figures) {
	for _, o := range h.owners {
		if o == server {
			f.unavailable += seconds
		}
	}
}
