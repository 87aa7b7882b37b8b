// Package intake decides what a node holds for its callers: one budget of bytes and one of
// connections for the whole process.
//
// A holder is a connection or a request. It is charged with the memory that it occupies, and
// says since when it has been waiting for its caller: for the rest of a header or body, for
// the next request, or for the caller to read. Where a charge exceeds the budget, the
// holders that have waited for at least MinStall are evicted, the worst first. The worst
// is the one with the most bytes times time waited, so that a body that makes progress, or
// a request whose backend server works, is never evicted. If that does not make
// room, Open and Reserve refuse; Charge never does.
//
// A limit for each buffer does not bound their sum, and one that did, divided by the number
// of connections, would be below a single legal request.
//
//	id, opened, evicted := budget.Open(now, intake.Connection, connectionBytes)
//	reserved, evicted := budget.Reserve(now, id, bodyBytes)
package intake
