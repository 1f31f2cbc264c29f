package gwpeer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	gw "github.com/geraniumworks/geraniumworks"
)

// Handler answers the calls of other hosts. Errors that gw.Peer names are passed on as such.
type Handler interface {
	Probe(ctx context.Context, req gw.ProbeRequest) (gw.ProbeReply, error)
	Handover(ctx context.Context, req gw.HandoverRequest) (gw.HandoverReply, error)
	RenewDispatch(ctx context.Context, lease gw.DispatchLease) (gw.DispatchStatus, error)
	ReleaseDispatch(ctx context.Context, release gw.DispatchRelease) (gw.DispatchStatus, error)
	Pull(ctx context.Context, req gw.PullRequest) (gw.PullReply, error)
	Offer(ctx context.Context, req gw.OfferRequest) (gw.OfferReply, error)
	ShareQuota(ctx context.Context, req gw.QuotaRequest) (gw.QuotaReply, error)
}

// Server answers calls on a listener.
type Server struct {
	handler  Handler
	tls      *tls.Config
	counters counters

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a Server that passes calls to handler.
func NewServer(handler Handler, opts ...ServerOption) *Server {
	s := &Server{handler: handler, conns: map[*jsonrpc2.Conn]struct{}{}, counters: newCounters("server")}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Serve answers calls until ctx ends. It closes the listener and all connections, and returns nil or the error of
// the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept peer connection")
		}
		s.open(ctx, conn)
	}
}

func (s *Server) open(ctx context.Context, conn net.Conn) {
	conn = s.counters.wrap(conn)
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	stream := jsonrpc2.NewBufferedStream(conn, boundedCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	rpc := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(quiet))
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	s.mu.Unlock()
	go s.forgetWhenClosed(rpc)
}

// forgetWhenClosed ends with the connection; closeAll closes it.
func (s *Server) forgetWhenClosed(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	result, err := s.dispatch(ctx, req)
	s.counters.called(req.Method, err)
	if err != nil {
		return nil, err
	}
	return result, nil
}

func (s *Server) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodProbe:
		return serve(ctx, req, s.handler.Probe)
	case methodHandover:
		return serve(ctx, req, s.handler.Handover)
	case methodRenewDispatch:
		return serve(ctx, req, s.handler.RenewDispatch)
	case methodReleaseDispatch:
		return serve(ctx, req, s.handler.ReleaseDispatch)
	case methodPull:
		return serve(ctx, req, s.handler.Pull)
	case methodOffer:
		return serve(ctx, req, s.handler.Offer)
	case methodShareQuota:
		return serve(ctx, req, s.handler.ShareQuota)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
}

func serve[P, R any](ctx context.Context, req *jsonrpc2.Request, do func(context.Context, P) (R, error)) (any, error) {
	var params P
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	if err := json.Unmarshal(*req.Params, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	result, err := do(ctx, params)
	if err != nil {
		// A refusal carries the result too: a controller learns from it which instance answers.
		wire := toWire(err)
		wire.SetError(result)
		return nil, wire
	}
	return result, nil
}
