package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

type tableCommand struct {
	Ranges  []int `long:"ranges" default:"1000" default:"10000" default:"100000" description:"ranges of one key space"`
	Servers []int `long:"servers" default:"10" default:"100" default:"1000" description:"servers of one cell"`
	Repeat  int   `long:"repeat" default:"5" description:"applications of an item that are timed"`
	Lookups int   `long:"lookups" default:"500000" description:"lookups that are timed"`
}

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error {
	fmt.Println("assignment: ranges; encoded bytes per range, bytes of memory per range, ms to apply, ns a lookup")
	for _, n := range c.Ranges {
		if err := c.assignment(n); err != nil {
			return err
		}
	}
	fmt.Println("directory: servers; encoded bytes per server, bytes of memory per server, us to apply")
	for _, n := range c.Servers {
		if err := c.directory(n); err != nil {
			return err
		}
	}
	return nil
}

func newAssignment(space gw.KeySpace, ranges, servers int) gw.Assignment {
	a := gw.NewAssignment(space).WithRevision(gw.Revision(ranges), "write")
	a.Ranges = make([]gw.OwnedRange, ranges)
	width := ^uint64(0) / uint64(ranges)
	for i := range a.Ranges {
		a.Ranges[i] = gw.OwnedRange{
			First: gw.Position(uint64(i) * width), Token: gw.Revision(i + 1),
			Owner: gw.ServerName("region-0-dc-0-lookups-0-" + strconv.Itoa(i%servers)),
		}
	}
	return a
}

func newDirectory(service gw.ServiceName, region gw.RegionName, dc gw.DataCentreName, servers int) gw.Directory {
	d := gw.Directory{
		Cell: gw.CellID{Service: service, DataCentre: dc}, Region: region, Epoch: 1, Sequence: 1,
		Controller: instanceOf("x"),
	}
	for n := range servers {
		d.Servers = append(d.Servers, gw.DirectoryServer{
			Name:    gw.ServerName(fmt.Sprintf("%s-%s-%d", dc, service, n)),
			Address: "10.20.30.40:7000", Incarnation: gw.Incarnation(fmt.Sprintf("incarnation-%08d", n)),
			State: gw.ServerUp, Dispatcher: gw.HostName(fmt.Sprintf("%s-entry-%d", dc, n%167)),
			RelayAddress: "10.20.30.40:8081", Slots: 4,
		})
	}
	return d
}

func newTable(services, regionCount, dataCentres int) (*gwtable.Table, error) {
	table := gwtable.NewTable()
	item, err := gwtable.ConfigItem(newConfig(services, regionCount, dataCentres))
	if err != nil {
		return nil, err
	}
	return table, table.Apply(item)
}

func (c *tableCommand) assignment(ranges int) error {
	table, err := newTable(1, 1, 1)
	if err != nil {
		return err
	}
	space := gw.KeySpace{Service: serviceName(0), Region: "region-0"}
	const servers = 100
	item := gwtable.AssignmentItem(gwtable.Record{StoreVersion: 1, Assignment: newAssignment(space, ranges, servers)})
	directory, err := gwtable.DirectoryItem(newDirectory(serviceName(0), "region-0", "region-0-dc-0", servers))
	if err != nil {
		return err
	}
	if err := table.Apply(directory); err != nil {
		return err
	}
	before := heap()
	if err := table.Apply(item); err != nil {
		return err
	}
	memory := heap() - before
	start := time.Now()
	for range c.Repeat {
		if err := table.Apply(item); err != nil {
			return err
		}
	}
	apply := time.Since(start) / time.Duration(c.Repeat)
	router := gwtable.NewRouter(gwtable.WithTable(table), gwtable.WithHost("h", "region-0"))
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = "name-" + strconv.Itoa(i)
	}
	start = time.Now()
	for n := range c.Lookups {
		_, refusal := router.Route(context.Background(), gw.RouteRequest{
			Service: serviceName(0), Tenant: "unlimited", Key: keys[n%len(keys)],
		})
		if refusal != nil {
			return eris.Errorf("lookup refused: %s", refusal.Detail)
		}
	}
	lookup := time.Since(start)
	fmt.Printf("  %6d  %6.1f %6.1f %9.3f %7.0f\n", ranges, float64(len(item.Data))/float64(ranges),
		float64(memory)/float64(ranges), 1000*apply.Seconds(), float64(lookup.Nanoseconds())/float64(c.Lookups))
	runtime.KeepAlive(table)
	return nil
}

func (c *tableCommand) directory(servers int) error {
	table, err := newTable(1, 1, 1)
	if err != nil {
		return err
	}
	item, err := gwtable.DirectoryItem(newDirectory(serviceName(0), "region-0", "region-0-dc-0", servers))
	if err != nil {
		return err
	}
	before := heap()
	if err := table.Apply(item); err != nil {
		return err
	}
	memory := heap() - before
	const times = 100
	start := time.Now()
	for range times {
		if err := table.Apply(item); err != nil {
			return err
		}
	}
	apply := time.Since(start) / times
	fmt.Printf("  %6d  %6.1f %6.1f %9.1f\n", servers, float64(len(item.Data))/float64(servers),
		float64(memory)/float64(servers), 1e6*apply.Seconds())
	runtime.KeepAlive(table)
	return nil
}
