package gwquota

import (
	"slices"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// contacts holds the hosts that this one knows of, and with which data centres it is in contact.
type contacts struct {
	self  gw.HostEntry
	hosts map[gw.HostName]*knownHost
	sites map[gw.DataCentreName]*site
}

type knownHost struct {
	entry  gw.HostEntry
	listed bool
	// since is when the host was first listed, seen when it was last listed, heard when it last sent a message.
	since, seen, heard time.Time
	// cuts are the data centres that the host said it cannot reach.
	cuts []gw.DataCentreName
}

// near reports whether this host has just heard from the other one.
func (h *knownHost) near(now time.Time) bool {
	return !h.heard.IsZero() && now.Sub(h.heard) < checkTimeout
}

type site struct {
	hosts int
	// heard is when a host there last sent a message, checked when the first unanswered check was sent.
	heard, checked time.Time
	// cut is set while the data centre cannot be reached, and for returnAfter from back, when it was heard again.
	cut  bool
	back time.Time
	// next counts the checks, which go to one host after the other.
	next int
}

func newContacts(self gw.HostEntry) *contacts {
	return &contacts{
		self: self, hosts: map[gw.HostName]*knownHost{}, sites: map[gw.DataCentreName]*site{},
	}
}

// setHosts applies a listing. Hosts that leave or have left count no more, others for lostRetention.
func (c *contacts) setHosts(now time.Time, hosts []gw.HostEntry) {
	first := len(c.hosts) == 0
	for _, h := range c.hosts {
		h.listed = false
	}
	for _, e := range hosts {
		h := c.hosts[e.Name]
		if h == nil {
			h = &knownHost{since: now}
			if first && e.Name != c.self.Name {
				h.since = now.Add(-matureAfter)
			}
			c.hosts[e.Name] = h
		}
		h.entry, h.listed, h.seen = e, true, now
	}
	for _, s := range c.sites {
		s.hosts = 0
	}
	for name, h := range c.hosts {
		if !h.listed && (h.entry.State == gw.EntryLeaving || now.Sub(h.seen) > lostRetention) {
			delete(c.hosts, name)
			continue
		}
		c.site(h.entry.DataCentre).hosts++
	}
	for dc, s := range c.sites {
		if s.hosts == 0 {
			delete(c.sites, dc)
		}
	}
}

func (c *contacts) site(dc gw.DataCentreName) *site {
	s := c.sites[dc]
	if s == nil {
		s = &site{}
		c.sites[dc] = s
	}
	return s
}

// candidates returns the hosts that may coordinate, sorted by name. This host counts at once: it lends nothing before
// the others count it too.
func (c *contacts) candidates(now time.Time) []gw.HostName {
	var names []gw.HostName
	for name, h := range c.hosts {
		mature := name == c.self.Name || now.Sub(h.since) >= matureAfter
		if h.listed && h.entry.State != gw.EntryLeaving && mature {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// matureAt returns when the other hosts count this one among the candidates.
func (c *contacts) matureAt() time.Time {
	if h := c.hosts[c.self.Name]; h != nil {
		return h.since.Add(matureAfter)
	}
	return time.Time{}
}

// lostSince reports whether a host has vanished from the list since a time, without leaving.
func (c *contacts) lostSince(since time.Time) bool {
	for _, h := range c.hosts {
		if !h.listed && h.seen.After(since) {
			return true
		}
	}
	return false
}

// heardFrom records a message of a host. Hosts that are not listed do not count.
func (c *contacts) heardFrom(now time.Time, name gw.HostName) {
	h := c.hosts[name]
	if h == nil || name == c.self.Name {
		return
	}
	h.heard = now
	s := c.site(h.entry.DataCentre)
	if s.cut && s.back.IsZero() {
		s.back = now
	}
	s.heard, s.checked = now, time.Time{}
}

// update notes which data centres are cut off.
func (c *contacts) update(now time.Time) {
	for _, s := range c.sites {
		switch {
		case !s.checked.IsZero() && now.Sub(s.checked) >= checkTimeout && now.Sub(s.heard) > silence:
			s.cut, s.back = true, time.Time{}
		case s.cut && !s.back.IsZero() && now.Sub(s.back) >= returnAfter:
			s.cut, s.back = false, time.Time{}
		}
	}
}

// share returns the share of all hosts that count, where count returns how many of a data centre do.
func (c *contacts) share(count func(gw.DataCentreName, *site) float64) float64 {
	all, counted := 0, 0.0
	for dc, s := range c.sites {
		all += s.hosts
		counted += count(dc, s)
	}
	if all == 0 {
		return 0
	}
	return counted / float64(all)
}

// checks returns one host of each data centre that has been silent, to be sent an empty message.
func (c *contacts) checks(now time.Time) []gw.HostName {
	var names []gw.HostName
	for dc, s := range c.sites {
		if now.Sub(s.heard) < checkAfter {
			continue
		}
		var there []gw.HostName
		for name, h := range c.hosts {
			if h.entry.DataCentre == dc && h.listed && name != c.self.Name {
				there = append(there, name)
			}
		}
		if len(there) == 0 {
			if dc != c.self.DataCentre || s.hosts > 1 {
				c.checkedSite(now, s)
			}
			continue
		}
		s.next++
		names = append(names, pick(there, s.next))
		c.checkedSite(now, s)
	}
	return names
}

func (c *contacts) checkedSite(now time.Time, s *site) {
	if s.checked.IsZero() {
		s.checked = now
	}
}

// cutSites returns the data centres that cannot be reached.
func (c *contacts) cutSites() []gw.DataCentreName {
	var cut []gw.DataCentreName
	for dc, s := range c.sites {
		if s.cut && s.back.IsZero() {
			cut = append(cut, dc)
		}
	}
	return cut
}

// reset forgets unanswered checks after this host was frozen.
func (c *contacts) reset() {
	for _, s := range c.sites {
		s.checked = time.Time{}
	}
}
