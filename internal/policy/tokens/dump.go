package tokens

import (
	"slices"
	"strings"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// The values of BalanceReport.State.
const (
	stateServed   = "served"
	stateExceeded = "exceeded"
	stateSilent   = "grantor-silent"
)

type (
	// BalanceReport is the state of one organisation at this ingress.
	BalanceReport struct {
		Organisation ident.Organisation `json:"organisation"`
		// Part is the part of the quota, set by the caller of Holder.Dump.
		Part int `json:"part"`
		// State is "served", "exceeded" while requests are refused as over the quota, or
		// "grantor-silent" while they are refused as its grantor cannot be asked.
		State string `json:"state"`
		// Tokens is the number of valid tokens, Demand the requests per second.
		Tokens int     `json:"tokens"`
		Demand float64 `json:"demand"`
		// Grantor is set by the caller of Holder.Dump.
		Grantor ident.Node `json:"grantor,omitempty"`
	}

	// AccountReport is the state of one organisation that this node grants tokens of.
	AccountReport struct {
		Organisation ident.Organisation `json:"organisation"`
		// Part is the part of the quota, set by the caller of Grantor.Dump.
		Part int `json:"part"`
		// Credit is the content of the token bucket, Counted the number of tokens granted
		// and not returned within a window.
		Credit  float64 `json:"credit"`
		Counted uint64  `json:"counted"`
		Rate    float64 `json:"rate"`
		Burst   float64 `json:"burst"`
	}

	// GrantorReport is the state of a Grantor.
	GrantorReport struct {
		// Fraction is the fraction of each quota that this node grants.
		Fraction float64         `json:"fraction"`
		Accounts []AccountReport `json:"accounts"`
	}
)

// Dump reports on every organisation with requests, sorted by name.
func (h *Holder) Dump(t eval.Context) []BalanceReport {
	reports := make([]BalanceReport, 0, len(h.balances))
	for name, p := range h.balances {
		r := BalanceReport{Organisation: name, State: stateServed, Demand: p.demandAt(t.Now)}
		for _, b := range p.batches {
			if t.Now.Before(b.expires) {
				r.Tokens += b.count
			}
		}
		switch {
		case t.Now.Before(p.refusedUntil):
			r.State = stateExceeded
		case t.Now.Before(p.silentUntil):
			r.State = stateSilent
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b BalanceReport) int {
		return strings.Compare(string(a.Organisation), string(b.Organisation))
	})
	return reports
}

// Dump reports on every account, sorted by name.
func (g *Grantor) Dump(t eval.Context) GrantorReport {
	report := GrantorReport{Fraction: g.fraction(), Accounts: make([]AccountReport, 0, len(g.accounts))}
	for name, a := range g.accounts {
		credit := a.level + max(0, t.Now.Sub(a.filledAt).Seconds())*a.limit.Rate
		report.Accounts = append(report.Accounts, AccountReport{
			Organisation: name, Credit: min(credit, a.limit.capacity()), Counted: a.sum,
			Rate: a.configured.Rate, Burst: a.configured.Burst,
		})
	}
	slices.SortFunc(report.Accounts, func(a, b AccountReport) int {
		return strings.Compare(string(a.Organisation), string(b.Organisation))
	})
	return report
}
