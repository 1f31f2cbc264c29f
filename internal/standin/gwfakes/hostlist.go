package gwfakes

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	gw "github.com/geraniumworks/geraniumworks"
)

// HostList is the stand-in of the platform's host list. It serves its listing as it was some time ago.
type HostList struct {
	mux   *http.ServeMux
	clock gw.Clock
	file  string

	mu sync.Mutex
	// versions are the listings since the one that is served now, oldest first.
	versions []listingVersion
	lag      time.Duration
	down     bool
	slow     time.Duration
	fileTime time.Time
}

type listingVersion struct {
	since   time.Time
	listing gw.Listing
}

// HostListOption configures a HostList.
type HostListOption func(*HostList)

// WithListingFile reads the listing from a file of JSON with comments, at start and whenever its modification
// time differs at a call.
func WithListingFile(name string) HostListOption {
	return func(h *HostList) { h.file = name }
}

// WithLag sets how long a change takes to appear.
func WithLag(d time.Duration) HostListOption {
	return func(h *HostList) { h.lag = d }
}

// WithHostListClock sets the clock that the lag is measured by.
func WithHostListClock(c gw.Clock) HostListOption {
	return func(h *HostList) { h.clock = c }
}

// NewHostList returns a host list, empty unless it has a file. It fails when the file cannot be read.
func NewHostList(opts ...HostListOption) (*HostList, error) {
	h := &HostList{mux: http.NewServeMux(), clock: gw.SystemClock{}}
	for _, opt := range opts {
		opt(h)
	}
	// The first listing has no start, so that it is served without lag.
	h.versions = []listingVersion{{listing: gw.Listing{Hosts: []gw.HostEntry{}, Servers: []gw.ServerEntry{}}}}
	if h.file != "" {
		if err := h.readFile(time.Time{}); err != nil {
			return nil, err
		}
	}
	h.routes()
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// Serve answers on l until ctx ends.
func (h *HostList) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, h, nil)
}

// Listing returns the listing that is served now.
func (h *HostList) Listing() (gw.Listing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.file != "" {
		if err := h.readFile(now); err != nil {
			return gw.Listing{}, err
		}
	}
	visible := now.Add(-h.lag)
	for len(h.versions) > 1 && !h.versions[1].since.After(visible) {
		h.versions = h.versions[1:]
	}
	return h.versions[0].listing, nil
}

// Change makes a new listing from the newest one. It appears after the lag.
func (h *HostList) Change(edit func(*gw.Listing)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.versions[len(h.versions)-1].listing
	next := gw.Listing{Hosts: slices.Clone(newest.Hosts), Servers: slices.Clone(newest.Servers)}
	edit(&next)
	h.versions = append(h.versions, listingVersion{since: h.clock.Now(), listing: next})
}

// readFile adds a version if the file has changed. The caller holds mu, except in NewHostList.
func (h *HostList) readFile(now time.Time) error {
	info, err := os.Stat(h.file)
	if err != nil {
		return eris.Wrap(err, "read the listing file")
	}
	if info.ModTime().Equal(h.fileTime) {
		return nil
	}
	data, err := os.ReadFile(h.file)
	if err != nil {
		return eris.Wrap(err, "read the listing file")
	}
	listing, err := parseListing(data)
	if err != nil {
		return eris.Wrapf(err, "listing file %s", h.file)
	}
	h.fileTime = info.ModTime()
	if now.IsZero() {
		h.versions = nil
	}
	h.versions = append(h.versions, listingVersion{since: now, listing: listing})
	return nil
}

func parseListing(data []byte) (gw.Listing, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return gw.Listing{}, err
	}
	listing := gw.Listing{Hosts: []gw.HostEntry{}, Servers: []gw.ServerEntry{}}
	err = decodeStrict(plain, &listing)
	return listing, err
}
