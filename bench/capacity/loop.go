package main

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/process/gwcontrol"
	"github.com/geraniumworks/geraniumworks/internal/process/gwtimer"
	"github.com/geraniumworks/geraniumworks/internal/version/gwplace"
	"github.com/geraniumworks/geraniumworks/internal/version/gwtable"
)

type loopCommand struct {
	Services []int `long:"services" default:"1" default:"10" default:"30" description:"services; each has a cell in 9 data centres, 3 of them in the region of the host"`
	Hosts    int   `long:"hosts" default:"1500" description:"hosts in the host list"`
	Servers  int   `long:"servers" default:"4400" description:"servers in the host list, of all services"`
	Events   int   `long:"events" default:"100" description:"probes of other hosts a second that the loop answers"`
	Relist   bool  `long:"relist" description:"count every reading of the host list as a change, every 2 s"`
	Seconds  int   `long:"seconds" default:"6" description:"measured time"`
}

// noPeer answers probes, so that a candidate finds the controller of its cell.
type noPeer struct{ gw.Peer }

// Probe implements gw.Peer.
func (noPeer) Probe(context.Context, string, gw.ProbeRequest) (gw.ProbeReply, error) {
	return gw.ProbeReply{Instance: instanceOf("x"), Epoch: 1}, nil
}

// noStore fails, since the record comes through the feed.
type noStore struct{ gw.Store }

// Get implements gw.Store.
func (noStore) Get(context.Context, string) (gw.StoredValue, error) {
	return gw.StoredValue{}, gw.ErrStoreUnavailable
}

// Execute implements flags.Commander.
func (c *loopCommand) Execute([]string) error {
	fmt.Println("services, cells of the region, directories; CPU ms a second, of it in steps of the cores")
	for _, services := range c.Services {
		if err := c.run(services); err != nil {
			return err
		}
	}
	return nil
}

func (c *loopCommand) table(services int) (*gwtable.Table, error) {
	const regionCount, dataCentres = 3, 3
	table, err := newTable(services, regionCount, dataCentres)
	if err != nil {
		return nil, err
	}
	perCell := max(c.Servers/services/regionCount/dataCentres, 1)
	for s := range services {
		for _, region := range regions(regionCount, dataCentres) {
			space := gw.KeySpace{Service: serviceName(s), Region: region.Name}
			a := newAssignment(space, 16*perCell*dataCentres, perCell)
			for _, dc := range region.DataCentres {
				a = a.WithCell(gw.Cell{DataCentre: dc, Epoch: 1, Controller: instanceOf("x"), Host: "region-0-dc-1-entry-1"})
				item, err := gwtable.DirectoryItem(newDirectory(serviceName(s), region.Name, dc, perCell))
				if err != nil {
					return nil, err
				}
				if err := table.Apply(item); err != nil {
					return nil, err
				}
			}
			if err := table.Apply(gwtable.AssignmentItem(gwtable.Record{StoreVersion: 1, Assignment: a})); err != nil {
				return nil, err
			}
		}
	}
	return table, nil
}

func (c *loopCommand) run(services int) error {
	table, err := c.table(services)
	if err != nil {
		return err
	}
	// A third of the hosts are in the region of the loop.
	listing := newListing(c.Hosts/9, c.Hosts/3-c.Hosts/9, 0)
	for n := range c.Hosts - c.Hosts/3 {
		listing.Hosts = append(listing.Hosts, gw.HostEntry{
			Name: gw.HostName(fmt.Sprintf("region-1-dc-0-entry-%d", n)), Region: "region-1", DataCentre: "region-1-dc-0",
			State: gw.EntryLive, PeerAddress: "10.30.40.50:8082",
		})
	}
	for n := range c.Servers {
		region, dc := n%9/3, n%3
		listing.Servers = append(listing.Servers, gw.ServerEntry{
			Name:    gw.ServerName(fmt.Sprintf("region-%d-dc-%d-%s-%d", region, dc, serviceName(n%services), n)),
			Service: serviceName(n % services), Region: gw.RegionName(fmt.Sprintf("region-%d", region)),
			DataCentre: gw.DataCentreName(fmt.Sprintf("region-%d-dc-%d", region, dc)),
			State:      gw.EntryLive, Address: "10.20.30.40:7000",
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	registry := prometheus.NewRegistry()
	begin := time.Now()
	loop := gwcontrol.New(
		gwcontrol.WithSelf(listing.Hosts[0], instanceOf(listing.Hosts[0].Name)),
		gwcontrol.WithStore(noStore{}), gwcontrol.WithPeer(noPeer{}), gwcontrol.WithTable(table),
		gwcontrol.WithListing(func() (gw.Listing, uint64) {
			if !c.Relist {
				return listing, 1
			}
			return listing, 1 + uint64(time.Since(begin)/(2*time.Second))
		}),
		gwcontrol.WithPlacer(func(gw.CellID) gw.Placer { return gwplace.New() }),
		gwcontrol.WithRegisterer(registry))
	done := make(chan error, 1)
	go func() { done <- loop.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			fmt.Println("control loop:", err)
		}
	}()
	if !gwtimer.Sleep(ctx, time.Second) {
		return ctx.Err()
	}
	steps, err := stepSeconds(registry)
	if err != nil {
		return err
	}
	cpu := processorTime()
	start := time.Now()
	for range c.Seconds * c.Events {
		if _, err := loop.Probe(ctx, gw.ProbeRequest{}); err != nil {
			return err
		}
		if !gwtimer.Sleep(ctx, time.Second/time.Duration(c.Events)) {
			return ctx.Err()
		}
	}
	seconds := time.Since(start).Seconds()
	cpu = processorTime() - cpu
	stepsAfter, err := stepSeconds(registry)
	if err != nil {
		return err
	}
	fmt.Printf("  %4d %4d %4d  %8.2f %8.2f\n", services, 3*services, 9*services, 1000*cpu.Seconds()/seconds,
		1000*(stepsAfter-steps)/seconds)
	return nil
}

func stepSeconds(registry *prometheus.Registry) (float64, error) {
	families, err := registry.Gather()
	if err != nil {
		return 0, err
	}
	for _, family := range families {
		if family.GetName() == "geraniumworks_control_step_seconds_total" {
			return family.GetMetric()[0].GetCounter().GetValue(), nil
		}
	}
	return 0, nil
}
