package pipe

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/uber-go/tally/v4"
)

// maxHeldBytes is the memory held by all connections from which on no buffer grows and nothing
// more is started. The smallest VM has 184 MB, and thousands of clients may read no responses.
const maxHeldBytes = 16 << 20

type (
	// Ingress serves the requests.
	Ingress interface {
		http.Handler
		// MayStartEarly reports whether a request without a body may be served before the
		// requests ahead of it on its connection are answered. It must not block.
		MayStartEarly(r *http.Request) bool
	}

	// Config configures a Pipeline.
	Config struct {
		Ingress Ingress
		// Depth returns how many requests of one connection may be in progress at once.
		// 0 and 1 start each request in its turn. A connection that is accepted with
		// such a depth keeps it.
		Depth func() int
		// Started counts the requests that were started before their turn, Canceled those
		// of them that were canceled because their connection had ended.
		Started  tally.Counter
		Canceled tally.Counter
	}

	// Pipeline starts the pipelined requests of one http.Server. It is safe for
	// concurrent use.
	Pipeline struct {
		config Config
		held   atomic.Int64
	}

	// socket is what a conn needs of the connection below it. *net.TCPConn implements it.
	socket interface {
		net.Conn
		syscall.Conn
		CloseWrite() error
	}

	listener struct {
		net.Listener
		pipeline *Pipeline
	}

	// connKey is the key of the conn in the context of its requests.
	connKey struct{}
)

// New returns a Pipeline.
func New(c Config) *Pipeline {
	return &Pipeline{config: c}
}

// HeldBytes returns the memory that is held in buffers for requests that are not answered
// yet: of bytes read ahead, and of responses that wait for their turn.
func (p *Pipeline) HeldBytes() int64 {
	return p.held.Load()
}

// isFull reports whether no more memory may be used.
func (p *Pipeline) isFull() bool {
	return p.held.Load() >= maxHeldBytes
}

// Handler returns the handler of the server. It passes the requests on to the Ingress.
func (p *Pipeline) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil || r.ProtoMajor != 1 {
			p.config.Ingress.ServeHTTP(w, r)
			return
		}
		started := c.begin(r)
		defer c.end()
		if started == nil {
			p.config.Ingress.ServeHTTP(w, r)
			return
		}
		started.answer(w, r)
	})
}

// Track prepares a server whose Handler includes the one from Handler. It must be called
// after the server's ConnContext has been set.
func (p *Pipeline) Track(s *http.Server) {
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, outer net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, outer)
		}
		for raw := outer; raw != nil; {
			if c, ok := raw.(*conn); ok {
				return context.WithValue(ctx, connKey{}, c)
			}
			wrapper, ok := raw.(interface{ NetConn() net.Conn })
			if !ok {
				break
			}
			raw = wrapper.NetConn()
		}
		return ctx
	}
}

// Listen returns a listener whose connections are read ahead. A wrapper around these
// connections must have a method NetConn that returns the connection.
func (p *Pipeline) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, pipeline: p}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s, ok := raw.(socket)
	if !ok || l.pipeline.config.Depth() <= 1 {
		return raw, nil
	}
	return &conn{socket: s, pipeline: l.pipeline}, nil
}
