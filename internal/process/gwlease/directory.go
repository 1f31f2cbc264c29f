package gwlease

import (
	"slices"

	gw "github.com/geraniumworks/geraniumworks"
)

type directoryState struct {
	published gw.Directory
	sequence  uint64
}

// directorySeen applies a directory of this cell or of another cell of the key space. A directory of this cell names
// servers and dispatchers that the host list no longer has. Such a dispatcher may only be paused, so it must answer
// or be declared stopped before a server whose senders are unknown gets another one.
func (c *Core) directorySeen(d gw.Directory) {
	if d.Cell.Service != c.opts.cell.Service {
		return
	}
	if d.Cell.DataCentre != c.opts.cell.DataCentre {
		if d.Region == c.opts.region || c.service.OrderedKeys {
			c.otherDirectories[d.Cell.DataCentre] = d
		}
		return
	}
	if d.Controller == c.opts.instance {
		return
	}
	for _, e := range d.Servers {
		if e.Dispatcher != "" && c.hosts[e.Dispatcher] == nil {
			c.hosts[e.Dispatcher] = &host{entry: gw.HostEntry{
				Name: e.Dispatcher, Region: c.opts.region, DataCentre: c.opts.cell.DataCentre, RelayAddress: e.RelayAddress,
			}}
		}
		if s := c.addServer(e.Name); !s.listed && s.entry.Address == "" {
			s.entry = gw.ServerEntry{
				Name: e.Name, Service: c.opts.cell.Service, Region: c.opts.region, DataCentre: c.opts.cell.DataCentre,
				State: gw.EntryLeaving, Address: e.Address,
			}
		}
	}
	c.sortServers()
}

// publishDirectory publishes the directory when it has changed.
func (c *Core) publishDirectory() {
	if !c.hostsAnswered() {
		return
	}
	servers := c.directoryServers()
	if c.directory.sequence > 0 && slices.Equal(servers, c.directory.published.Servers) {
		return
	}
	c.directory.sequence++
	c.directory.published = gw.Directory{
		Cell: c.opts.cell, Region: c.opts.region, Space: c.keySpace(), Epoch: c.control.epoch, Sequence: c.directory.sequence,
		Controller: c.opts.instance, Servers: servers,
	}
	c.emit(PublishDirectory{Directory: c.directory.published})
}

func (c *Core) directoryServers() []gw.DirectoryServer {
	servers := make([]gw.DirectoryServer, 0, len(c.byName))
	for _, s := range c.byName {
		d := gw.DirectoryServer{
			Name: s.entry.Name, Address: s.entry.Address, Incarnation: s.incarnation, State: c.state(s),
			Slots: s.dispatch.slots,
		}
		if h := c.hosts[s.dispatch.host]; h != nil {
			d.Dispatcher = s.dispatch.host
			// The address is published once the dispatcher has accepted its lease, because it refuses requests until
			// then.
			if s.dispatch.report.Name == s.entry.Name {
				d.RelayAddress = h.entry.RelayAddress
			}
		}
		servers = append(servers, d)
	}
	return servers
}
