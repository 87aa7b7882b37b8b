package node

import (
	"context"
	"net/http"
	"time"

	"github.com/figwick/figwick/internal/policy/intake"
	"github.com/figwick/figwick/internal/proxy/conns"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	// intakeShare is the part of the process's memory that the budgets charge. The collector lets
	// the heap grow to about twice what is in use, and the rest of the node needs 20 to 40 MB.
	intakeShare = 4
	// internalShare is the part of the budgets for the listeners of the platform, the backend server
	// and operators, so that callers cannot take these connections.
	internalShare = 8
	// descriptorShare is the part of the process's descriptors for callers. The others are for nodes
	// and backend servers.
	descriptorShare = 2
	// minInternal is the least number of connections to those listeners.
	minInternal = 32

	// sweepInterval is how often connections are checked for timeouts.
	sweepInterval = 250 * time.Millisecond
	// maxTimeout is above every timeout in a configuration. The tracker enforces those.
	maxTimeout = time.Hour
	// maxHeaderBytes bounds the header of a caller's request, whatever the configuration says.
	maxHeaderBytes = 64 << 10

	// The limits of the internal listeners, whose requests are polls and heartbeats of a few hundred
	// bytes. Configuration files, of up to maxTextBytes, come to the operators' listener.
	internalHeaderBytes   = 16 << 10
	internalHeaderTimeout = 5 * time.Second
	internalReadTimeout   = 30 * time.Second
	internalIdleTimeout   = 2 * time.Minute

	// The limits of an HTTP/2 connection. What it receives of bodies and has not passed on is
	// bounded for each stream and for all.
	http2Streams         = 100
	http2ConnectionBytes = 256 << 10
	http2StreamBytes     = 128 << 10
)

// setUpIntake sets up the budgets of the HTTP listeners from the process's limits.
func (n *Node) setUpIntake() {
	limits := intake.Limits{Bytes: n.config.MemoryBytes / intakeShare, Connections: n.config.MaxDescriptors / descriptorShare}
	internal := intake.Limits{Bytes: limits.Bytes / internalShare}
	if limits.Connections > 0 {
		internal.Connections = max(minInternal, limits.Connections/internalShare)
	}
	limits.Bytes -= internal.Bytes
	n.callerGuard = n.newGuard(limits, "callers")
	n.callerConns.SetGuard(n.callerGuard)
	n.internalGuard = n.newGuard(internal, "internal")
	n.internalConns.SetGuard(n.internalGuard)
	n.internalConns.SetLimits(conns.Limits{
		HeaderBytes: internalHeaderBytes, HeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout,
		BodiesWait: true,
	})
	n.setCallerLimits(&config.Intake{
		MaxHeaderBytes: config.DefaultMaxHeaderBytes, HeaderTimeout: config.DefaultHeaderTimeout, IdleTimeout: config.DefaultIdleTimeout,
	})
}

// newGuard returns a guard of listeners. The name is for its log and metrics.
func (n *Node) newGuard(limits intake.Limits, name string) *conns.Guard {
	scope := n.meter.Intake(name)
	return conns.NewGuard(conns.GuardConfig{
		Limits: limits, Clock: n.config.Clock, Log: n.log.Named(name),
		Bytes: scope.Bytes, Connections: scope.Connections, Refused: scope.Refused, Closed: scope.Closed,
	})
}

// setCallerLimits puts the limits of a configuration in force, for open connections too.
func (n *Node) setCallerLimits(i *config.Intake) {
	n.callerConns.SetLimits(conns.Limits{HeaderBytes: i.MaxHeaderBytes, HeaderTimeout: i.HeaderTimeout, IdleTimeout: i.IdleTimeout})
}

// sweepConnections closes connections that have exceeded their limits.
func (n *Node) sweepConnections(context.Context) {
	n.callerConns.Sweep()
	n.internalConns.Sweep()
}

// newCallerServer returns the HTTP server for callers.
func (n *Node) newCallerServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler:           n.pipeline.Handler(),
		ReadHeaderTimeout: maxTimeout,
		IdleTimeout:       maxTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: http2Streams, MaxReceiveBufferPerConnection: http2ConnectionBytes, MaxReceiveBufferPerStream: http2StreamBytes,
		},
		ErrorLog: n.log.Named("callers").StandardLogger(nil),
	}
	n.callerConns.Track(s)
	n.pipeline.Track(s)
	return s
}

// newInternalServer returns an HTTP server for calls from backend servers or operators. The
// name is for its log.
func (n *Node) newInternalServer(h http.Handler, name string) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: maxTimeout,
		ReadTimeout:       internalReadTimeout,
		IdleTimeout:       internalIdleTimeout,
		MaxHeaderBytes:    internalHeaderBytes,
		ErrorLog:          n.log.Named(name).StandardLogger(nil),
	}
	n.internalConns.Track(s)
	return s
}
