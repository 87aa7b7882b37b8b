package node

import (
	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/state/fresh"
)

// check returns an error if a required field is missing.
func (c *Config) check() error {
	switch {
	case c.ID == "":
		return errors.New("node: id is empty")
	case c.Zone == "":
		return errors.New("node: availability zone is empty")
	case c.Address == "":
		return errors.New("node: peer address is empty")
	case c.Listeners.Callers == nil, c.Listeners.Peers == nil:
		return errors.New("node: callers or peers listener is missing")
	case c.Listeners.Admin != nil && c.Admin == nil:
		return errors.New("node: admin listener has no handler")
	case len(c.ExtraListeners) == 0 && (c.Listeners.Backends == nil || c.Listeners.Admin == nil):
		return errors.New("node: backends or admin listener is missing")
	case c.Store == nil:
		return errors.New("node: store is missing")
	case c.RevokeWithin != 0 && c.RevokeWithin < fresh.MinBound:
		return errors.Newf("node: revocation bound %s is below %s", c.RevokeWithin, fresh.MinBound)
	}
	return nil
}
