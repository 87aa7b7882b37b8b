package node

import "github.com/figwick/figwick/internal/policy/tokens"

// QuotaReport is the state of the organisations' quotas at a node: of its ingress, and of the quotas
// that it grants.
type QuotaReport struct {
	Organisations []tokens.BalanceReport `json:"organisations"`
	Grantor       tokens.GrantorReport   `json:"grantor"`
}

// dump returns nil if there are no quotas.
func (q *quotas) dump() *QuotaReport {
	if q == nil {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	t := q.turn()
	r := &QuotaReport{Organisations: q.holder.Dump(t), Grantor: q.grantor.Dump(t)}
	for i := range r.Organisations {
		o := &r.Organisations[i]
		o.Grantor = q.place(o.Organisation).record.ID
		o.Organisation, o.Part = splitQuotaAccount(o.Organisation)
	}
	for i := range r.Grantor.Accounts {
		a := &r.Grantor.Accounts[i]
		a.Organisation, a.Part = splitQuotaAccount(a.Organisation)
	}
	return r
}
