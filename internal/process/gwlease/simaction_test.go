package gwlease

import (
	"strings"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// applyAction starts a fault and ends it after its duration.
func (m *sim) applyAction(a action) {
	m.log("action %+v", a)
	i := a.Target % len(m.hosts)
	if strings.Contains(a.Kind, "controller") {
		if cell, ok := m.stored.Cell([]gw.DataCentreName{"a", "b"}[a.Target%m.sc.Cells]); ok {
			i, _ = m.host(cell.Host)
		}
	}
	if strings.Contains(a.Kind, "dispatcher") {
		for _, e := range m.directories["a"].Servers {
			if e.Name == m.servers[a.Target%len(m.servers)].entry.Name && e.Dispatcher != "" {
				i, _ = m.host(e.Dispatcher)
			}
		}
	}
	p := m.hosts[i]
	s := m.servers[a.Target%len(m.servers)]
	switch a.Kind {
	case "pause-host", "pause-controller", "pause-dispatcher":
		if !p.paused {
			p.paused, p.pausedAt = true, m.now
		}
		m.after(a.For, func() { m.resume(p) })
	case "pause-host-before-send":
		p.pauseAfterStep = true
		m.after(a.For, func() { m.resume(p) })
	case "restart-host", "restart-controller", "restart-dispatcher":
		p.dead = true
		m.after(a.For, func() { m.restartHost(i, p) })
	case "stop-host":
		for _, c := range p.cores {
			m.step(p, c, StopRequested{})
		}
		m.after(2*time.Second, func() {
			p.dead = true
			m.after(a.For, func() { m.restartHost(i, p) })
		})
	case "operator-stopped", "operator-stopped-dispatcher":
		m.operatorStopped(i, p, a.For)
	case "cut-host":
		m.cutFor(string(p.name), a.For)
	case "cut-host-from-servers":
		for _, server := range m.servers {
			m.cutFor(string(p.name)+"|"+string(server.entry.Name), a.For)
		}
		m.after(800*time.Millisecond, func() { p.cutOff = true })
		m.after(a.For, func() { p.cutOff = false })
	case "cut-host-from-store":
		m.cutFor("store:"+string(p.name), a.For)
	case "cut-host-from-hosts", "cut-controller-from-hosts":
		m.cutFor("hosts:"+string(p.name), a.For)
	case "isolate-controller":
		// It reaches only servers and continues to renew them.
		m.cutFor("hosts:"+string(p.name), a.For)
		m.cutFor("store:"+string(p.name), a.For)
	case "isolate-controller-then-cut-server":
		m.cutFor("hosts:"+string(p.name), a.For+6*time.Second)
		m.cutFor("store:"+string(p.name), a.For+6*time.Second)
		m.after(2500*time.Millisecond, func() {
			m.applyAction(action{Kind: "cut-server-from-controller", Target: a.Target, For: a.For + 3*time.Second})
		})
	case "pause-controller-while-server-restarts":
		// The server is back just before the former controller resumes and finds it, still cut from the others.
		end := a.For/2 + 5*time.Second
		m.cutFor("hosts:"+string(p.name), end+a.For)
		m.cutFor("store:"+string(p.name), end+a.For)
		m.applyAction(action{Kind: "pause-controller", Target: a.Target, For: end})
		m.after(2*time.Second, func() { s.dead = true })
		m.after(end-time.Millisecond, func() { m.restartServer(s) })
	case "cut-server-from-controller":
		m.cutFor(string(p.name)+"|"+string(s.entry.Name), a.For)
	case "cut-server":
		m.cutFor(string(s.entry.Name), a.For)
	case "lose-server-answers":
		m.cutFor("from:"+string(s.entry.Name), a.For)
	case "restart-server":
		s.dead = true
		m.after(a.For, func() { m.restartServer(s) })
	case "freeze-server":
		s.frozen = true
		m.after(a.For, func() { m.unfreeze(s) })
	case "unlist-host":
		m.listFor(m.unlisted, string(p.name), a.For)
	case "unlist-server":
		m.listFor(m.unlisted, string(s.entry.Name), a.For)
	case "leave-host":
		m.listFor(m.leaving, string(p.name), a.For)
	case "list-slots":
		m.listing.Servers[a.Target%len(m.servers)].Slots = 4
		m.deliverListing()
	case "drain-server":
		s.drained = true
		m.after(a.For, func() { s.drained = false })
	case "out-server":
		m.configure(m.cfg.WithOut(gw.OutOfService{Kind: gw.OutServer, Name: string(s.entry.Name)}))
		m.after(a.For, func() { m.configure(m.cfg.WithIn(gw.OutServer, string(s.entry.Name))) })
	case "store-down":
		m.storeOff = true
		m.after(a.For, func() { m.storeOff = false })
	case "restore-store":
		// Copies are up to 15 s old.
		age := time.Duration(m.rng.IntN(15000)) * time.Millisecond
		m.storeOff = true
		m.after(a.For, func() { m.restoreUnlessEnded(age) })
	case "lose-next-commit":
		m.loseNextCommit = a.For
	case "pause-controller-over-restore":
		// Its successor moves ranges, and is cut off when the copy names the paused controller again, which does not reach
		// a server at first.
		const pause = 4 * time.Second
		before := m.now
		p.paused, p.pausedAt = true, m.now
		m.cutFor("hosts:"+string(p.name), pause+1500*time.Millisecond)
		m.cutFor("store:"+string(p.name), pause)
		m.cutFor(string(p.name)+"|"+string(s.entry.Name), pause+800*time.Millisecond)
		m.after(pause, func() {
			if cell, ok := m.stored.Cell([]gw.DataCentreName{"a", "b"}[a.Target%m.sc.Cells]); ok {
				m.cutFor("hosts:"+string(cell.Host), a.For)
				m.cutFor("store:"+string(cell.Host), a.For)
			}
			m.restoreUnlessEnded(m.now - before)
			m.resume(p)
		})
	case "slow-store":
		m.storeDelay = 700 * time.Millisecond
		m.after(a.For, func() { m.storeDelay = 0 })
	case "store-loses-answers":
		m.noAnswer = true
		m.after(a.For, func() { m.noAnswer = false })
	}
}

func (m *sim) cutFor(link string, d time.Duration) {
	m.cut[link] = true
	m.after(d, func() { delete(m.cut, link) })
}

func (m *sim) restartHost(i int, p *simProcess) {
	if m.hosts[i] == p && p.dead && !m.declaredStopped[p.name] {
		m.startHost(i)
	}
}

func (m *sim) restartServer(s *simServer) {
	if s.dead {
		s.restart()
	}
}

func (m *sim) unfreeze(s *simServer) {
	if s.dead || !s.frozen {
		return
	}
	s.frozen = false
	waiting := s.waiting
	s.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// operatorStopped ends a process, declares it stopped in the configuration, and puts the host back later.
func (m *sim) operatorStopped(i int, p *simProcess, d time.Duration) {
	p.dead = true
	m.declaredStopped[p.name] = true
	out := gw.OutOfService{Kind: gw.OutHost, Name: string(p.name), Stopped: true}
	m.configure(m.cfg.WithOut(out))
	m.after(d, func() {
		m.configure(m.cfg.WithIn(gw.OutHost, string(p.name)))
		// A process is started only when every host has learned that the statement is withdrawn.
		m.after(4*time.Second, func() {
			delete(m.declaredStopped, p.name)
			m.restartHost(i, p)
		})
	})
}

func (m *sim) configure(cfg gw.Config) {
	m.cfg = cfg.WithVersion(m.cfg.Version + 1)
	for _, p := range m.hosts {
		for _, c := range p.cores {
			in := ConfigChanged{Config: m.cfg}
			m.after(m.delay(), func() { m.step(p, c, in) })
		}
	}
}

// listFor changes the host list for a time. Each host reads it with its own delay.
func (m *sim) listFor(set map[string]bool, name string, d time.Duration) {
	set[name] = true
	m.deliverListing()
	m.after(d, func() {
		delete(set, name)
		m.deliverListing()
	})
}

func (m *sim) deliverListing() {
	for _, p := range m.hosts {
		for _, c := range p.cores {
			m.after(m.delay(), func() { m.step(p, c, HostsListed{Listing: m.currentListing()}) })
		}
	}
}

func (m *sim) currentListing() gw.Listing {
	var l gw.Listing
	for _, h := range m.listing.Hosts {
		if m.leaving[string(h.Name)] {
			h.State = gw.EntryLeaving
		}
		if !m.unlisted[string(h.Name)] {
			l.Hosts = append(l.Hosts, h)
		}
	}
	for _, s := range m.listing.Servers {
		if !m.unlisted[string(s.Name)] {
			l.Servers = append(l.Servers, s)
		}
	}
	return l
}

// endFaults ends all faults and starts everything that is not running.
func (m *sim) endFaults() {
	m.log("faults end")
	m.faultFree = true
	m.storeOff, m.noAnswer, m.loseNextCommit = false, false, 0
	clear(m.cut)
	clear(m.unlisted)
	clear(m.leaving)
	m.deliverListing()
	m.configure(gw.Config{Regions: m.cfg.Regions, Services: m.cfg.Services})
	for i, p := range m.hosts {
		m.resume(p)
		m.after(4*time.Second, func() {
			delete(m.declaredStopped, p.name)
			m.restartHost(i, p)
		})
	}
	for _, s := range m.servers {
		m.unfreeze(s)
		s.drained = false
		m.restartServer(s)
	}
}
