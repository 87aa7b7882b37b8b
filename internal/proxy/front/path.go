package front

import (
	"context"

	"github.com/figwick/figwick/internal/peer/link"
)

// checkPath pings the path of a stream on which nothing has been received for CheckAfter. If there is
// no reply in time, it drops the session: nothing of the attempt has been sent.
func (x *exchange) checkPath(ctx context.Context, stream *link.Stream) error {
	checkAfter := x.server.config.PathTimeouts.CheckAfter
	if checkAfter == 0 || stream.Silence() < checkAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, x.pathTimeouts().Ping)
	defer cancel()
	err := stream.Ping(ctx)
	if err != nil && x.request.Context().Err() == nil {
		x.server.config.Links.Drop(stream.Peer.Address)
	}
	return err
}

// probe pings the peer over the stream's session until the attempt ends. If a
// ping fails, it cancels the attempt with errPathSilent.
func (a *attempt) probe() {
	path := a.x.pathTimeouts()
	for a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, path.Ping)
		err := a.stream.Ping(ctx)
		cancel()
		if a.ctx.Err() != nil {
			return
		}
		if err != nil {
			a.cancel(errPathSilent)
			return
		}
		select {
		case <-a.ctx.Done():
			return
		case <-a.x.server.config.Clock.After(path.ProbeAfter):
		}
	}
}
