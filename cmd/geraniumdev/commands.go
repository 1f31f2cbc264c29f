package main

import (
	"context"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/standin/gwfakes"
)

type storeCommand struct {
	listenFlags

	ReadsPerSecond  int `long:"reads-per-second" default:"2000" description:"limit on reads and watches; 0 is none"`
	WritesPerSecond int `long:"writes-per-second" default:"300" description:"limit on writes; 0 is none"`

	// ctx is a field because go-flags calls Execute without a context.
	ctx context.Context
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	store := gwfakes.NewStore(gwfakes.WithStoreLimits(c.ReadsPerSecond, c.WritesPerSecond))
	return c.serve(c.ctx, "store", store.Serve)
}

type hostListCommand struct {
	listenFlags

	File            string `long:"file" description:"listing as JSON with comments, read again when it changes"`
	LagMilliseconds int64  `long:"lag-milliseconds" default:"1000" description:"time until a change appears"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *hostListCommand) Execute([]string) error {
	list, err := gwfakes.NewHostList(
		gwfakes.WithListingFile(c.File),
		gwfakes.WithLag(time.Duration(c.LagMilliseconds)*time.Millisecond),
	)
	if err != nil {
		return err
	}
	return c.serve(c.ctx, "host-list", list.Serve)
}

type serverCommand struct {
	listenFlags

	Name       string `long:"name" required:"true" description:"name in the host list"`
	Service    string `long:"service" required:"true" description:"service"`
	Region     string `long:"region" required:"true" description:"region"`
	DataCentre string `long:"data-centre" required:"true" description:"data centre"`

	Incarnation string `long:"incarnation" description:"name of this run; random by default"`
	NoFencing   bool   `long:"no-fencing" description:"do not check fencing, and say so"`
	Undivided   bool   `long:"undivided" description:"the service is not divided by key"`
	Slots       int    `long:"slots" default:"4" description:"requests run at once"`
	Connections int    `long:"connections" default:"130" description:"open connections"`

	ServiceMilliseconds float64 `long:"service-milliseconds" default:"1" description:"run time of a request"`
	ColdPercent         int     `long:"cold-percent" default:"25" description:"share of slots after a start"`
	ColdMilliseconds    int64   `long:"cold-milliseconds" default:"0" description:"time until warm"`
	ClockRate           float64 `long:"clock-rate" default:"1" description:"seconds of the own clock per second"`

	ClockOffsetMilliseconds int64   `long:"clock-offset-milliseconds" default:"0" description:"own clock at start"`
	LoadAgeMilliseconds     int64   `long:"load-age-milliseconds" default:"0" description:"age of load reports"`
	LoadFactor              float64 `long:"load-factor" default:"1" description:"error of reported utilisation"`
	LeavingMilliseconds     int64   `long:"leaving-milliseconds" default:"0" description:"notice given after SIGTERM"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *serverCommand) Execute([]string) error {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	opts := []gwfakes.ServerOption{
		gwfakes.WithIncarnation(gw.Incarnation(c.Incarnation)),
		gwfakes.WithSlots(c.Slots),
		gwfakes.WithConnections(c.Connections),
		gwfakes.WithServiceTime(time.Duration(c.ServiceMilliseconds * float64(time.Millisecond))),
		gwfakes.WithColdStart(c.ColdPercent, ms(c.ColdMilliseconds)),
		gwfakes.WithClockError(c.ClockRate, ms(c.ClockOffsetMilliseconds)),
		gwfakes.WithLoadError(ms(c.LoadAgeMilliseconds), c.LoadFactor),
		gwfakes.WithLeavingPeriod(ms(c.LeavingMilliseconds)),
	}
	if c.NoFencing {
		opts = append(opts, gwfakes.WithoutFencing())
	}
	if c.Undivided {
		opts = append(opts, gwfakes.WithoutKeys())
	}
	server := gwfakes.NewServer(gw.ServerEntry{
		Name:       gw.ServerName(c.Name),
		Service:    gw.ServiceName(c.Service),
		Region:     gw.RegionName(c.Region),
		DataCentre: gw.DataCentreName(c.DataCentre),
	}, opts...)
	return c.serve(c.ctx, "server "+c.Name, server.Serve)
}
