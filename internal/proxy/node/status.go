package node

import (
	"context"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/proxy/conns"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/fresh"
	"github.com/figwick/figwick/internal/state/member"
)

// statusCalls bounds how many nodes or services are queried concurrently for a
// Status.
const statusCalls = 32

// Values of Ready.State.
const (
	// Serving means that the node has a configuration and takes requests.
	Serving = "serving"
	// WaitingForConfig means that the node has no configuration yet.
	WaitingForConfig = "waiting-for-configuration"
	// Stopping means that the node is shutting down.
	Stopping = "stopping"
)

type (
	// Ready reports whether a node takes callers' requests.
	Ready struct {
		Ready bool `json:"ready"`
		// State is Serving, WaitingForConfig or Stopping.
		State string `json:"state"`
		// Revision is that of the active configuration. Zero means none.
		Revision ident.Revision `json:"revision"`
		// Store is "answering", or "away" after a call that got no answer.
		Store string `json:"store"`
	}

	// Status is the state of the fleet as one node sees it.
	Status struct {
		Node    ident.Node `json:"node"`
		Zone    ident.Zone `json:"zone"`
		Version string     `json:"version"`
		Ready   Ready      `json:"ready"`
		// Accepted is the apply that made the active configuration.
		Accepted accept.AcceptedApply `json:"in-force"`
		Nodes    []PeerStatus         `json:"nodes"`
		// Lagging are the nodes whose revision is older than the newest of Nodes.
		// A node that did not answer counts as lagging.
		Lagging  []ident.Node    `json:"lagging"`
		Services []ServiceStatus `json:"services"`
	}

	// PeerStatus is the state of one node in a Status.
	PeerStatus struct {
		ID      ident.Node `json:"id"`
		Zone    ident.Zone `json:"zone"`
		Address string     `json:"address"`
		// State is the membership state that the asking node assumes.
		State string `json:"state"`
		// Revision is that of the node's active configuration. It is zero if the
		// node has none or did not answer.
		Revision ident.Revision `json:"revision,omitempty"`
		// Error says why the node did not answer. Dead nodes are not asked.
		Error string `json:"error,omitempty"`
	}

	// ServiceStatus is the state of one service in a Status, summed over all
	// sidecars that the service's directory lists.
	ServiceStatus struct {
		Name ident.Service `json:"name"`
		// Floor is the configured minimum of backend servers in service.
		Floor int `json:"floor"`
		// InService, Ejected and Leaving count backend servers.
		InService int `json:"in-service"`
		Ejected   int `json:"ejected"`
		Leaving   int `json:"leaving"`
		Slots     int `json:"slots"`
		Sidecars  int `json:"sidecars"`
		// Known reports whether any owner of the service's directory answered. All
		// counts are zero otherwise.
		Known bool `json:"known"`
	}

	// Dump is the whole state of a node, for debugging. It contains no secrets.
	Dump struct {
		Node       ident.Node     `json:"node"`
		Instance   ident.Instance `json:"instance"`
		Ready      Ready          `json:"ready"`
		Front      front.Report   `json:"ingress"`
		Controller admit.Report   `json:"sidecar"`
		Members    []MemberReport `json:"members"`
		// Owned are the services whose directory this node owns.
		Owned []ident.Service `json:"directory-services"`
		// Sessions is the number of sessions with other nodes.
		Sessions int         `json:"sessions"`
		Head     accept.Head `json:"configuration"`
		// Proof says how current the configuration is known to be.
		Proof fresh.Report `json:"configuration-proof"`
		// PipelineBytes is the memory held for pipelined requests.
		PipelineBytes int64 `json:"pipeline-bytes"`
		// Quotas are those of organisations. Nil means that there are none.
		Quotas *QuotaReport `json:"quotas,omitempty"`
		// Callers and Internal are what callers and the connections to the other listeners hold.
		Callers  conns.Report `json:"callers"`
		Internal conns.Report `json:"internal-connections"`
	}

	// MemberReport is the membership record that this node has of a node.
	MemberReport struct {
		ID          ident.Node        `json:"id"`
		Address     string            `json:"address"`
		Zone        ident.Zone        `json:"zone"`
		State       string            `json:"state"`
		Incarnation ident.Incarnation `json:"incarnation"`
		// Beat is the node's latest heartbeat counter.
		Beat uint64 `json:"beat"`
		// Accusers are the nodes that suspect this one of having failed.
		Accusers []ident.Node `json:"accusers,omitempty"`
	}
)

// Ready reports whether the node takes callers' requests.
func (n *Node) Ready() Ready {
	r := Ready{Revision: n.revision(), Store: "answering", State: Serving}
	if n.configs.store.unreachable.Load() {
		r.Store = "away"
	}
	switch {
	case n.state.Load() != phaseServing:
		r.State = Stopping
	case r.Revision == 0:
		r.State = WaitingForConfig
	default:
		r.Ready = true
	}
	return r
}

// revision returns the revision of the active configuration, or zero if there is
// none.
func (n *Node) revision() ident.Revision {
	if table := n.front.Table(); table != nil {
		return table.Revision
	}
	return 0
}

// Status queries all live nodes for their revision and the directory owners for all
// services. It blocks until they have answered or their calls have timed out.
func (n *Node) Status(ctx context.Context) Status {
	s := Status{
		Node:     n.config.ID,
		Zone:     n.config.Zone,
		Version:  n.config.Version,
		Ready:    n.Ready(),
		Accepted: n.configs.head().AcceptedApply,
		Nodes:    n.nodeStatuses(ctx),
		Lagging:  []ident.Node{},
	}
	newest := ident.Revision(0)
	for _, node := range s.Nodes {
		newest = max(newest, node.Revision)
	}
	for _, node := range s.Nodes {
		if node.Revision < newest {
			s.Lagging = append(s.Lagging, node.ID)
		}
	}
	s.Services = n.serviceStatuses(ctx)
	return s
}

// nodeStatuses queries all known nodes, statusCalls of them at once.
func (n *Node) nodeStatuses(ctx context.Context) []PeerStatus {
	records := n.fleet.members()
	statuses := make([]PeerStatus, len(records))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for i, r := range records {
		group.Go(func() error {
			statuses[i] = n.nodeStatus(ctx, r)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

func (n *Node) nodeStatus(ctx context.Context, r MemberReport) PeerStatus {
	s := PeerStatus{ID: r.ID, Zone: r.Zone, Address: r.Address, State: r.State}
	if r.State == member.Dead.String() {
		return s
	}
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	reply, err := call[wire.ConfigReply](ctx, n, r.Address, wire.KindConfigFetch,
		&wire.ConfigFetch{Chunks: []string{revisionOnly}}, wire.KindConfigReply)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Revision = ident.Revision(reply.Revision)
	return s
}

// revisionOnly is a chunk name that does not exist. A fetch of it returns just the
// revision.
const revisionOnly = "-"

// serviceStatuses queries the directory owners of all configured services.
func (n *Node) serviceStatuses(ctx context.Context) []ServiceStatus {
	table := n.front.Table()
	if table == nil {
		return []ServiceStatus{}
	}
	statuses := make([]ServiceStatus, len(table.Services()))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for i, s := range table.Services() {
		group.Go(func() error {
			records, known := n.directory.queryOwners(ctx, s.Name)
			status := ServiceStatus{Name: s.Name, Floor: s.Floor, Known: known, Sidecars: len(records)}
			for _, r := range records {
				status.InService += int(r.InService)
				status.Ejected += int(r.Ejected)
				status.Leaving += int(r.Draining)
				status.Slots += int(r.Slots)
			}
			statuses[i] = status
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

// Dump returns the whole state of this node. It makes no calls to other nodes.
func (n *Node) Dump() Dump {
	d := Dump{
		Node:     n.config.ID,
		Instance: n.instance,
		Ready:    n.Ready(),
		Front:    n.front.Dump(),
		Members:  n.fleet.members(),
		Sessions: n.links.Sessions(),
		Head:     n.configs.head(),
		Owned:    n.directory.owned(),
		Proof:    n.proofs.dump(),

		PipelineBytes: n.pipeline.HeldBytes(),
		Quotas:        n.quotas.dump(),
		Callers:       n.callerGuard.Dump(),
		Internal:      n.internalGuard.Dump(),
	}
	n.side.WithController(func(t eval.Context, controller *admit.Controller) { d.Controller = controller.Dump(t) })
	return d
}

// members reports on every known node, dead ones included, sorted by id.
func (f *fleet) members() []MemberReport {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ids := f.group.Dead()
	for _, r := range f.group.Live() {
		ids = append(ids, r.ID)
	}
	reports := make([]MemberReport, 0, len(ids))
	for _, id := range ids {
		r, state, _ := f.group.Find(id)
		reports = append(reports, MemberReport{
			ID:          r.ID,
			Address:     r.Address,
			Zone:        r.Zone,
			State:       state.String(),
			Incarnation: r.Incarnation,
			Beat:        r.Heartbeat,
			Accusers:    r.Accusers,
		})
	}
	slices.SortFunc(reports, func(a, b MemberReport) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return reports
}

// owned returns the services whose directory this node owns.
func (d *directory) owned() []ident.Service {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.index.Services(d.node.config.Clock.Now())
}
