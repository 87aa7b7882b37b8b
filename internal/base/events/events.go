// Package events is the catalogue of the numbered events that figwick logs.
//
// The meaning of a number never changes. docs/EVENTS.md lists the events, and a test
// checks that the list matches the code. Emit logs an event with its fields as
// key-value pairs:
//
//	events.Emit(log, events.BackendEjected, "service", name, "backend-server", id)
package events

import "github.com/hashicorp/go-hclog"

type (
	// Number identifies an event in logs.
	Number int

	// Event is one entry of the catalogue.
	Event struct {
		Number Number
		// Name is the message of the log line.
		Name  string
		Level hclog.Level
		// Meaning explains the event to operators in one sentence.
		Meaning string
	}
)

// The catalogue: 1xx is for the process, 2xx for configuration, 3xx for backend
// servers, 4xx for requests, 5xx for membership and 6xx for the store.
var (
	NodeStarted        = Event{101, "node-started", hclog.Info, "The process serves on all its listeners."}
	NodeLeaving        = Event{102, "node-leaving", hclog.Info, "A planned stop began; new work is refused."}
	NodeStopped        = Event{103, "node-stopped", hclog.Info, "The process ended with no request in flight."}
	NodeCut            = Event{104, "node-cut", hclog.Error, "The stop reached its time limit; requests in flight were cut off and are listed."}
	ListenerFailed     = Event{105, "listener-failed", hclog.Error, "A listener ended with an error."}
	HandlerPanicked    = Event{106, "handler-panicked", hclog.Error, "The handler of a request panicked; its caller was told that the outcome is unknown."}
	SettingsRead       = Event{107, "settings-read", hclog.Info, "The settings have changed; those that can change in a running node are in force."}
	SettingsBroken     = Event{108, "settings-broken", hclog.Error, "The changed settings could not be read; the old ones stay in force."}
	LinesDropped       = Event{109, "log-lines-dropped", hclog.Warn, "Log lines were dropped, because there were too many or their reader was too slow."}
	NodeDraining       = Event{110, "node-draining", hclog.Info, "A stopping node accepts no more attempts for its backend servers; those in flight end."}
	StreamPanicked     = Event{111, "stream-panicked", hclog.Error, "The handler of a peer's stream panicked; the stream ended and the process goes on."}
	ConfigAdopted      = Event{201, "config-adopted", hclog.Info, "A newer configuration revision is in force at this node."}
	ConfigAccepted     = Event{202, "config-accepted", hclog.Info, "A configuration file applied at this node was accepted."}
	ConfigRefused      = Event{203, "config-refused", hclog.Warn, "A configuration file applied at this node was not accepted."}
	ConfigOld          = Event{204, "config-old", hclog.Warn, "A source offered a configuration revision older than the one in force; it was ignored."}
	ConfigBroken       = Event{205, "config-broken", hclog.Error, "A configuration revision could not be fetched completely or read; the one in force stays."}
	ConfigUnfetched    = Event{206, "config-unfetched", hclog.Info, "Fetching a newer configuration from a peer failed; another peer is asked."}
	ConfigUnwritten    = Event{207, "config-unwritten", hclog.Warn, "The store has lost the configuration in force, and writing it back failed; the node tries again."}
	KeysNeeded         = Event{220, "keys-needed", hclog.Info, "The configuration in force names organisations; routes that are not public need an API key from now on."}
	KeysUnneeded       = Event{221, "keys-unneeded", hclog.Info, "The configuration in force names no organisations any more; no route needs an API key."}
	ConfigUnproved     = Event{208, "config-unproved", hclog.Warn, "The configuration in force has not been proved to be the newest for nearly the revocation bound; requests with an API key are refused."}
	ConfigProved       = Event{209, "config-proved", hclog.Info, "The configuration in force is proved to be the newest again; requests with an API key are served."}
	BackendAnnounced   = Event{301, "backend-announced", hclog.Info, "A backend server announced a new incarnation."}
	BackendGone        = Event{302, "backend-gone", hclog.Info, "A backend server left or stopped sending heartbeats."}
	BackendEjected     = Event{303, "backend-ejected", hclog.Warn, "A backend server was taken out of service."}
	BackendLast        = Event{304, "backend-last", hclog.Warn, "An unhealthy backend server was put last in preference, because the floor allows no ejection."}
	BackendTrial       = Event{305, "backend-trial", hclog.Info, "An ejected backend server is on trial and gets a few requests."}
	BackendReturned    = Event{306, "backend-returned", hclog.Info, "A backend server is back in service."}
	BackendMoved       = Event{307, "backend-moved", hclog.Info, "A backend server announced itself to another node with a higher incarnation."}
	BackendRefused     = Event{308, "backend-refused", hclog.Warn, "The announcement of a backend server could not be read or was older than the known one; it was ignored."}
	AttemptFailed      = Event{309, "attempt-failed", hclog.Info, "A backend server failed an attempt."}
	BackendLeaving     = Event{310, "backend-leaving", hclog.Info, "A backend server said in a response that it is leaving; it gets no further requests."}
	LimitUnread        = Event{311, "limit-unread", hclog.Warn, "A backend server named a limit that is no decimal number of requests per second; what it named before holds on."}
	OutcomeUnknown     = Event{401, "outcome-unknown", hclog.Warn, "A caller was told that its request may have been run."}
	AnswerRecovered    = Event{402, "answer-recovered", hclog.Info, "A response lost on its way was retrieved by a fence."}
	AnswerCut          = Event{403, "answer-cut", hclog.Warn, "A response ended early after its first bytes had been sent to the caller; the caller's connection was closed."}
	RequestRefused     = Event{404, "request-refused", hclog.Info, "A caller was told that its request was not run, and when to retry."}
	FailurePassed      = Event{405, "failure-passed", hclog.Info, "A backend server's failed response was passed on to the caller, because no further attempt was made."}
	NodeJoined         = Event{501, "member-joined", hclog.Info, "Another node became known for the first time."}
	NodeSuspected      = Event{502, "member-suspected", hclog.Warn, "This node cannot reach a neighbour."}
	NodeDead           = Event{503, "member-dead", hclog.Warn, "A node was declared dead after reports from two neighbours."}
	NodeBack           = Event{504, "member-back", hclog.Info, "A node that was suspected or declared dead is alive again."}
	PeerRefused        = Event{505, "peer-refused", hclog.Warn, "A session or frame of a peer violated the protocol."}
	StoreAway          = Event{601, "store-away", hclog.Warn, "The store does not respond; the node continues without it."}
	StoreBack          = Event{602, "store-back", hclog.Info, "The store responds again."}
	EntryLost          = Event{603, "entry-lost", hclog.Warn, "The lease of the node's entry in the store has expired; the entry is written again."}
	EntryBroken        = Event{604, "entry-broken", hclog.Warn, "A node's entry in the store could not be read; it was ignored."}
	DepartureUnkept    = Event{605, "departure-unkept", hclog.Warn, "The departure of a backend server was acknowledged, but could not be stored for the next run of this node."}
	StoreRestored      = Event{606, "store-restored", hclog.Warn, "The store has come back from an older copy of its data; what it acknowledged since that copy is lost."}
	DepartureRestored  = Event{607, "departure-restored", hclog.Info, "The node learned of the departure of a backend server that it had acknowledged before its restart."}
	ClaimsUnwritten    = Event{608, "claims-unwritten", hclog.Warn, "Claims of idempotency keys could not be written again after the store had come back from an older copy."}
	QuotaExceeded      = Event{421, "quota-exceeded", hclog.Info, "An organisation is over its quota; its further refusals at this node bear no line for 10 s."}
	QuotaGrantorSilent = Event{422, "quota-grantor-silent", hclog.Warn, "The node that grants an organisation's quota does not answer; most of its requests here are refused meanwhile."}
	QuotaGrantorNew    = Event{423, "quota-grantor-new", hclog.Info, "The node was suspended; it grants no quota for a while, since other nodes may have done so."}
	IntakeFull         = Event{406, "intake-full", hclog.Warn, "Callers hold as much memory or as many connections as they may; requests were refused, or connections that waited for their callers were closed."}
)

// All returns the catalogue in the order of its numbers.
func All() []Event {
	return []Event{
		NodeStarted, NodeLeaving, NodeStopped, NodeCut, ListenerFailed, HandlerPanicked, SettingsRead, SettingsBroken, LinesDropped, NodeDraining,
		StreamPanicked,
		ConfigAdopted, ConfigAccepted, ConfigRefused, ConfigOld, ConfigBroken, ConfigUnfetched, ConfigUnwritten,
		ConfigUnproved, ConfigProved, KeysNeeded, KeysUnneeded,
		BackendAnnounced, BackendGone, BackendEjected, BackendLast, BackendTrial, BackendReturned, BackendMoved, BackendRefused, AttemptFailed,
		BackendLeaving, LimitUnread,
		OutcomeUnknown, AnswerRecovered, AnswerCut, RequestRefused, FailurePassed, IntakeFull,
		QuotaExceeded, QuotaGrantorSilent, QuotaGrantorNew,
		NodeJoined, NodeSuspected, NodeDead, NodeBack, PeerRefused,
		StoreAway, StoreBack, EntryLost, EntryBroken, DepartureUnkept, StoreRestored, DepartureRestored, ClaimsUnwritten,
	}
}

// Emit logs an event with its number and the given key-value pairs.
func Emit(log hclog.Logger, e Event, fields ...any) {
	log.Log(e.Level, e.Name, append([]any{"event", int(e.Number)}, fields...)...)
}
