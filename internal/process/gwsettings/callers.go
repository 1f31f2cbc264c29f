package gwsettings

import (
	"fmt"
)

// ReservedDescriptors are kept for files.
const ReservedDescriptors = 200

const (
	// memoryShare is the part of the memory that callers may hold, as its inverse. The heap grows to 1.8 times what is in
	// use, and a process without callers has up to 60 MB: 144 MB leave 46 MB for callers.
	memoryShare = 5
	// relayShare is the part that bodies of requests from other hosts may hold, as its inverse: 14 MB of 144 MB are 120
	// bodies of 60 KB.
	relayShare = 10
	// connectionKilobytes is the memory of a connection on which nothing is received.
	connectionKilobytes = 16
	// defaultHeaderLines is the number of lines of three bytes, the shortest ones, in a head of 16,384 bytes.
	defaultHeaderLines = 16_384 / 3
	// defaultEmptyLines is far above the one or two empty lines that some clients send after a body.
	defaultEmptyLines = 64
	// minMemoryMegabytes leaves callers 6 MB, that is room for a few of the largest requests.
	minMemoryMegabytes = 32
	// bytesPerMegabyte, as the platform counts memory.
	bytesPerMegabyte = 1 << 20
)

// Callers are limits of what callers may send. Zero means the default.
type Callers struct {
	// Connections bounds the open connections of callers.
	Connections int `json:"connections,omitempty"`
	// HeaderLines bounds the header lines of a request.
	HeaderLines int `json:"header-lines,omitempty"`
	// EmptyLines bounds the empty lines before a request.
	EmptyLines int `json:"empty-lines,omitempty"`
	// HeldMegabytes bounds the memory of what callers have sent and that has not been answered.
	HeldMegabytes float64 `json:"held-megabytes,omitempty"`
}

// HeldBytes returns HeldMegabytes in bytes.
func (c Callers) HeldBytes() int64 {
	return int64(c.HeldMegabytes * bytesPerMegabyte)
}

// CallerLimits returns the limits in force. Those that are neither set nor follow from the memory and the descriptors
// of the machine are zero, which means that there is none besides those of net/http.
func (s Settings) CallerLimits() Callers {
	c := s.Callers
	if s.Descriptors > 0 && c.Connections == 0 {
		// The other half is for connections to servers, hosts and the store.
		c.Connections = (s.Descriptors - ReservedDescriptors) / 2
	}
	if s.MemoryMegabytes <= 0 {
		return c
	}
	if c.HeldMegabytes == 0 {
		c.HeldMegabytes = s.MemoryMegabytes / memoryShare
	}
	if c.HeaderLines == 0 {
		c.HeaderLines = defaultHeaderLines
	}
	if c.EmptyLines == 0 {
		c.EmptyLines = defaultEmptyLines
	}
	if c.Connections == 0 || s.Callers.Connections == 0 {
		// Idle connections leave a fifth for requests.
		fits := int(c.HeldMegabytes * 1024 / connectionKilobytes * 4 / 5)
		if c.Connections == 0 || fits < c.Connections {
			c.Connections = fits
		}
	}
	return c
}

// MemoryLimit returns the soft limit of the memory of the Go runtime in bytes, zero when there is none. The rest is for
// the program itself and for what is freed late.
func (s Settings) MemoryLimit() int64 {
	return int64(s.MemoryMegabytes * bytesPerMegabyte * 7 / 10)
}

// RelayBodyBytes returns the bound of the bodies of requests from other hosts in bytes, zero when there is none.
func (s Settings) RelayBodyBytes() int64 {
	return int64(s.MemoryMegabytes * bytesPerMegabyte / relayShare)
}

func (s Settings) checkCallers(fail func(field, problem, allowed string)) {
	if s.MemoryMegabytes != 0 && s.MemoryMegabytes < minMemoryMegabytes {
		fail("memory-megabytes", "is too small", fmt.Sprintf("%d or more, 0 when it is not known", minMemoryMegabytes))
	}
	if s.Descriptors != 0 && s.Descriptors < 2*ReservedDescriptors {
		fail("descriptors", "is too small", fmt.Sprintf("%d or more, 0 when they are not known", 2*ReservedDescriptors))
	}
	for _, each := range []struct {
		name  string
		value int
	}{
		{"connections", s.Callers.Connections},
		{"header-lines", s.Callers.HeaderLines},
		{"empty-lines", s.Callers.EmptyLines},
	} {
		if each.value < 0 {
			fail("callers."+each.name, "is negative", "1 or more, 0 for the default")
		}
	}
	if s.Descriptors > 0 && s.Callers.Connections > s.Descriptors-ReservedDescriptors {
		fail("callers.connections", "is above the descriptors",
			fmt.Sprintf("at most descriptors less %d", ReservedDescriptors))
	}
	if s.Callers.HeldMegabytes < 0 {
		fail("callers.held-megabytes", "is negative", "a number of megabytes, 0 for the default")
	}
	if s.MemoryMegabytes > 0 && s.Callers.HeldMegabytes > s.MemoryMegabytes/2 {
		fail("callers.held-megabytes", "is above half of memory-megabytes", "at most half of memory-megabytes")
	}
	held := s.CallerLimits()
	if s.Callers.Connections > 0 && held.HeldMegabytes > 0 &&
		float64(s.Callers.Connections)*connectionKilobytes > held.HeldMegabytes*1024 {
		fail("callers.connections", "does not fit in held-megabytes",
			fmt.Sprintf("at most one for each %d KiB", connectionKilobytes))
	}
}
