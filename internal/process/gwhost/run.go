package gwhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/geraniumworks/geraniumworks/internal/connection/gwpeer"
	"github.com/geraniumworks/geraniumworks/internal/connection/gwpipeline"
	"github.com/geraniumworks/geraniumworks/internal/request/gwentry"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

const (
	// relayHeaderBytes limits the header of a request between hosts. It is above the limit for callers, since entry hosts
	// add headers. The operators' listeners have the same limit.
	relayHeaderBytes = 64 << 10
	// closeTimeout limits the graceful shutdown of the HTTP servers after a planned stop, before the platform kills the
	// process; remaining connections are closed.
	closeTimeout = 300 * time.Millisecond
)

// Run serves until ctx ends, and then performs a planned stop: it hands over its roles to other hosts and finishes
// running requests. It returns nil after a planned stop.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen(ctx)
	if err != nil {
		return err
	}
	var group run.Group
	h.addStop(ctx, &group, listeners)
	if h.backend.Run != nil {
		addLoop(&group, h.backend.Run)
	}
	addLoop(&group, h.members.Run)
	addLoop(&group, h.feed.Run)
	addLoop(&group, h.reach.Run)
	addLoop(&group, h.control.Run)
	addLoop(&group, h.quota.Run)
	for _, pool := range h.pools {
		addLoop(&group, pool.Run)
	}
	h.addPeers(&group, listeners.peers)
	callers := gwpipeline.Listener{Listener: listeners.callers, Start: h.entry.StartPipelined, Budget: h.callers}
	headerLines := h.settings.Load().CallerLimits().HeaderLines
	h.addHTTP(&group, callers, h.entry, gwentry.DefaultHeaderBytes, headerLines)
	h.addHTTP(&group, h.requireTLS(listeners.relay), h.relay, relayHeaderBytes, h.relayHeaderLines())
	h.addHTTP(&group, listeners.operators, h.operatorsHandler(), relayHeaderBytes, 0)
	if listeners.readiness != nil {
		h.addHTTP(&group, listeners.readiness, h.readinessHandler(), relayHeaderBytes, 0)
	}
	h.log.Info("process started",
		"callers", listeners.callers.Addr().String(), "operators", listeners.operators.Addr().String())
	err = group.Run()
	h.log.Info("process stopped")
	if cerr := h.client.Close(); err == nil {
		err = cerr
	}
	return err
}

type listeners struct {
	callers   net.Listener
	relay     net.Listener
	peers     net.Listener
	operators net.Listener
	// readiness is nil when only the operators' listener reports readiness.
	readiness net.Listener
}

func (h *Host) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var config net.ListenConfig
	addresses := h.settings.Load().Listen
	var opened []net.Listener
	for _, each := range []struct {
		address string
		to      *net.Listener
	}{
		{addresses.Callers, &l.callers},
		{addresses.Relay, &l.relay},
		{addresses.Peers, &l.peers},
		{addresses.Operators, &l.operators},
		{addresses.Readiness, &l.readiness},
	} {
		if each.address == "" {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", each.address)
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return listeners{}, eris.Wrapf(err, "listen on %s", each.address)
		}
		opened = append(opened, listener)
		*each.to = lastingListener{listener, h.log}
	}
	return l, nil
}

// addLoop adds an actor that runs until its context ends.
func addLoop(group *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (h *Host) addPeers(group *run.Group, listener net.Listener) {
	options := []gwpeer.ServerOption{gwpeer.WithServerRegisterer(h.registry)}
	if h.tls != nil {
		options = append(options, gwpeer.WithServerTLS(h.tls))
	}
	handler := &peerHandler{control: h.control, dispatcher: h.dispatcher, feed: h.feed, quota: h.quota}
	server := gwpeer.NewServer(handler, options...)
	addLoop(group, func(ctx context.Context) error { return server.Serve(ctx, listener) })
}

func (h *Host) addHTTP(group *run.Group, listener net.Listener, handler http.Handler, headerBytes, headerLines int) {
	server := gwforward.NewServer(handler, headerBytes)
	gwforward.LimitHeaderLines(server, headerLines)
	closed := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return eris.Wrapf(err, "serve on %s", listener.Addr())
		}
		// A planned stop closes listeners before it ends. The first actor that returns would end it sooner.
		<-closed
		return nil
	}, func(error) {
		// The group interrupts one actor after the other; the servers of a host shut down at the same time.
		go func() {
			defer close(closed)
			shutDown(server)
		}()
	})
}

// shutDown closes a server once its requests have ended, after closeTimeout at the latest.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// readinessHandler answers every request with status 200 while the balancer should send callers to this host, and with
// 503 otherwise.
func (h *Host) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if ready, _ := h.Ready(); !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (h *Host) operatorsHandler() http.Handler {
	e := echo.New()
	h.admin.Register(e)
	return e
}
