package gwtable

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
)

// Topics of the items that make up a State.
const (
	TopicConfig gw.Topic = "config"

	// AssignmentTopics and DirectoryTopics are the prefixes of the topics of assignments and directories.
	AssignmentTopics gw.Topic = "assignment/"
	DirectoryTopics  gw.Topic = "directory/"

	topicLoadsPrefix string = "loads/"
)

// AssignmentTopic returns the topic of a key space's assignment.
func AssignmentTopic(space gw.KeySpace) gw.Topic {
	return AssignmentTopics + gw.Topic(space.String())
}

// DirectoryTopic returns the topic of a cell's directory.
func DirectoryTopic(cell gw.CellID) gw.Topic {
	return DirectoryTopics + gw.Topic(cell.String())
}

// LoadsItem returns the item of the loads of a cell.
func LoadsItem(l gw.CellLoads) (gw.Item, error) {
	return gw.NewItem(gw.Topic(topicLoadsPrefix+l.Cell.String()), l.Version(), l)
}

// ConfigItem returns the item of a configuration.
func ConfigItem(cfg gw.Config) (gw.Item, error) {
	return gw.NewItem(TopicConfig, cfg.ItemVersion(), cfg)
}

// Record is an assignment with its version in the store, so that a controller that receives it from another one
// need not read the store.
type Record struct {
	StoreVersion gw.StoreVersion
	Assignment   gw.Assignment
}

// AssignmentItem returns the item of an assignment. It is encoded when it is sent.
func AssignmentItem(r Record) gw.Item {
	return gw.Item{
		Topic: AssignmentTopic(r.Assignment.KeySpace), Version: gw.ItemVersion{Sequence: uint64(r.Assignment.Revision)},
		Assignment: &r.Assignment, StoreVersion: r.StoreVersion,
	}
}

// DirectoryItem returns the item of a directory.
func DirectoryItem(d gw.Directory) (gw.Item, error) {
	return gw.NewItem(DirectoryTopic(d.Cell), gw.ItemVersion{Epoch: uint64(d.Epoch), Sequence: d.Sequence}, d)
}

// State is an immutable snapshot of everything that routing depends on.
type State struct {
	Config gw.Config
	// Ready is false until a configuration has been received.
	Ready       bool
	Assignments map[gw.KeySpace]Record
	Directories map[gw.CellID]gw.Directory
	// Loads are known to hosts that may control cells only.
	Loads map[gw.CellID]gw.CellLoads

	// services, tenants, spaces and cells index the values above, since every request looks them up.
	services map[gw.ServiceName]gw.Service
	tenants  map[gw.TenantName]gw.Tenant
	spaces   map[gw.KeySpace][]cellIndex
	// cells holds the directories of each service, ordered by data centre.
	cells map[gw.ServiceName][]gw.Directory
}

// cellIndex finds the servers of one cell by name. It is replaced with the directory of the cell, so that a new
// directory costs the same however many cells a service has.
type cellIndex struct {
	cell    gw.CellID
	region  gw.RegionName
	servers map[gw.ServerName]*gw.DirectoryServer
}

// server returns the entry and the region of a server of a key space, and false when no directory lists it.
func (s State) server(space gw.KeySpace, name gw.ServerName) (*gw.DirectoryServer, gw.RegionName, bool) {
	for _, x := range s.spaces[space] {
		if e, ok := x.servers[name]; ok {
			return e, x.region, true
		}
	}
	return nil, "", false
}

// WithItem returns a copy that contains the item. The caller has checked that its version is the highest.
func (s State) WithItem(item gw.Item) (State, error) {
	switch {
	case item.Topic == TopicConfig:
		var cfg gw.Config
		if err := item.Decode(&cfg); err != nil {
			return s, err
		}
		s = s.withConfig(cfg)
	case strings.HasPrefix(string(item.Topic), string(AssignmentTopics)):
		if item.Assignment == nil {
			return s, eris.Errorf("item %s holds no assignment", item.Topic)
		}
		s.Assignments = maps.Clone(s.Assignments)
		s.Assignments[item.Assignment.KeySpace] = Record{StoreVersion: item.StoreVersion, Assignment: *item.Assignment}
	case strings.HasPrefix(string(item.Topic), string(DirectoryTopics)):
		var d gw.Directory
		if err := item.Decode(&d); err != nil {
			return s, err
		}
		s = s.withDirectory(d)
	case strings.HasPrefix(string(item.Topic), topicLoadsPrefix):
		var l gw.CellLoads
		if err := item.Decode(&l); err != nil {
			return s, err
		}
		s.Loads = maps.Clone(s.Loads)
		s.Loads[l.Cell] = l
	}
	return s, nil
}

func (s State) withConfig(cfg gw.Config) State {
	s.Config = cfg
	s.Ready = true
	s.services = make(map[gw.ServiceName]gw.Service, len(cfg.Services))
	for _, service := range cfg.Services {
		s.services[service.Name] = service
	}
	s.tenants = make(map[gw.TenantName]gw.Tenant, len(cfg.Tenants))
	for _, tenant := range cfg.Tenants {
		s.tenants[tenant.Name] = tenant
	}
	return s
}

func (s State) withDirectory(d gw.Directory) State {
	s.Directories = maps.Clone(s.Directories)
	s.Directories[d.Cell] = d
	servers := make(map[gw.ServerName]*gw.DirectoryServer, len(d.Servers))
	for i := range d.Servers {
		servers[d.Servers[i].Name] = &d.Servers[i]
	}
	index := cellIndex{cell: d.Cell, region: d.Region, servers: servers}
	s.spaces = maps.Clone(s.spaces)
	for space, cells := range s.spaces {
		if i := slices.IndexFunc(cells, func(x cellIndex) bool { return x.cell == d.Cell }); i >= 0 {
			s.spaces[space] = slices.Delete(slices.Clone(cells), i, i+1)
		}
	}
	s.spaces[d.KeySpace()] = append(slices.Clone(s.spaces[d.KeySpace()]), index)
	s.cells = maps.Clone(s.cells)
	cells := slices.DeleteFunc(slices.Clone(s.cells[d.Cell.Service]), func(other gw.Directory) bool {
		return other.Cell == d.Cell
	})
	cells = append(cells, d)
	slices.SortFunc(cells, func(x, y gw.Directory) int { return cmp.Compare(x.Cell.DataCentre, y.Cell.DataCentre) })
	s.cells[d.Cell.Service] = cells
	return s
}
