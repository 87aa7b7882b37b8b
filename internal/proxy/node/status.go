package node

import (
	"context"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/member"
)

// statusCalls bounds how many nodes are asked at once for a status.
const statusCalls = 32

// The states of a Ready.
const (
	// Serving nodes have a configuration.
	Serving = "serving"
	// WaitingForConfig nodes have none yet.
	WaitingForConfig = "waiting-for-configuration"
	// Stopping nodes leave.
	Stopping = "stopping"
)

type (
	// Ready tells whether a node takes callers' requests.
	Ready struct {
		Ready    bool           `json:"ready"`
		State    string         `json:"state"`
		Revision ident.Revision `json:"revision"`
		Store    string         `json:"store"`
	}

	// Status is the fleet as one node sees it.
	Status struct {
		Node     ident.Node           `json:"node"`
		Zone     ident.Zone           `json:"zone"`
		Version  string               `json:"version"`
		Ready    Ready                `json:"ready"`
		Accepted accept.AcceptedApply `json:"in-force"`
		Nodes    []PeerStatus         `json:"nodes"`
		Lagging  []ident.Node         `json:"lagging"`
		Services []ServiceStatus      `json:"services"`
	}

	// PeerStatus is one node of a Status.
	PeerStatus struct {
		ID       ident.Node     `json:"id"`
		Zone     ident.Zone     `json:"zone"`
		Address  string         `json:"address"`
		State    string         `json:"state"`
		Revision ident.Revision `json:"revision,omitempty"`
		Error    string         `json:"error,omitempty"`
	}

	// ServiceStatus is one service of a Status.
	ServiceStatus struct {
		Name      ident.Service `json:"name"`
		Floor     int           `json:"floor"`
		InService int           `json:"in-service"`
		Ejected   int           `json:"ejected"`
		Leaving   int           `json:"leaving"`
		Slots     int           `json:"slots"`
		Sidecars  int           `json:"sidecars"`
		Known     bool          `json:"known"`
	}

	// Dump is the whole state of a node. It holds no secrets.
	Dump struct {
		Node     ident.Node      `json:"node"`
		Instance ident.Instance  `json:"instance"`
		Ready    Ready           `json:"ready"`
		Front    front.Report    `json:"ingress"`
		Desk     desk.Report     `json:"sidecar"`
		Members  []MemberReport  `json:"members"`
		Owned    []ident.Service `json:"directory-services"`
		Sessions int             `json:"sessions"`
		Head     accept.Head     `json:"configuration"`
	}

	// MemberReport is one node as the dumping one knows it.
	MemberReport struct {
		ID          ident.Node        `json:"id"`
		Address     string            `json:"address"`
		Zone        ident.Zone        `json:"zone"`
		State       string            `json:"state"`
		Incarnation ident.Incarnation `json:"incarnation"`
		Beat        uint64            `json:"beat"`
		Accusers    []ident.Node      `json:"accusers,omitempty"`
	}
)

// Ready tells whether the node takes callers' requests.
func (n *Node) Ready() Ready {
	r := Ready{Revision: n.revision(), Store: "answering", State: Serving}
	if n.configs.store.away.Load() {
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

// revision returns the configuration in force; zero is none.
func (n *Node) revision() ident.Revision {
	if table := n.front.Table(); table != nil {
		return table.Revision
	}
	return 0
}

// Status asks the fleet.
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

// revisionOnly is the name of no chunk: its fetch returns the revision alone.
const revisionOnly = "-"

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
			records, known := n.directory.ask(ctx, s.Name)
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

// Dump returns the whole state.
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
	}
	n.side.WithController(func(t turn.Turn, k *desk.Controller) { d.Desk = k.Dump(t) })
	return d
}

// members reports on every node that is known, by id.
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
			Beat:        r.Beat,
			Accusers:    r.Accusers,
		})
	}
	slices.SortFunc(reports, func(a, b MemberReport) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return reports
}

func (d *directory) owned() []ident.Service {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.index.Services(d.node.config.Clock.Now())
}
