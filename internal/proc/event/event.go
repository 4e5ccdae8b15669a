// Package event defines the log events and their numbers. docs/EVENTS.md is generated from Catalogue.
package event

import (
	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. Its number never changes. Doc is its description in docs/EVENTS.md.
type Event struct {
	Number  int
	Level   logrus.Level
	Message string
	Doc     string
}

// Log writes the event with its number, err and the fields f. Nothing is written if l is nil; err and f may be nil.
func (e Event) Log(l *logrus.Logger, err error, f logrus.Fields) {
	if l == nil {
		return
	}
	entry := l.WithField("event", e.Number)
	if f != nil {
		entry = entry.WithFields(f)
	}
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Log(e.Level, e.Message)
}

// Events of the control replicas: 100 to 199.
var (
	ReplicaStarted     = Event{100, logrus.InfoLevel, "control replica started", "The replica has read its state from disk. Fields: replica, last (index of the last log entry), term."}
	RoleChanged        = Event{101, logrus.InfoLevel, "control role changed", "Fields: role (the new one), term, leader."}
	ClusterFounded     = Event{102, logrus.InfoLevel, "control cluster created", "This control host had no state, and wrote the initial membership of a new cluster to its disk. Fields: voters."}
	MembersChanged     = Event{103, logrus.InfoLevel, "control membership change proposed", "The leader proposed one step of a membership change, such as replace or promote during a repair. Fields: step, replica, and on edge and platform nodes voters (the voters after the step)."}
	SnapshotCreated    = Event{104, logrus.InfoLevel, "snapshot created", "Fields: index (of the last log entry in the snapshot), bytes, config and routes (versions that the snapshot holds)."}
	SnapshotInstalled  = Event{105, logrus.InfoLevel, "snapshot installed", "The replica lagged behind and installed the leader's snapshot. Fields: index (of the last log entry in the snapshot), config and routes (versions that the snapshot holds)."}
	DiskFailed         = Event{106, logrus.ErrorLevel, "control replica stopped: disk failure", "A read, write or sync failed, or the state is corrupt. The replica stops; the rest of the node continues to run, and edge and platform nodes reopen the replica (event 215). Repair: OPERATIONS.md, replacing a disk."}
	CommandUnreadable  = Event{107, logrus.ErrorLevel, "unreadable command skipped", "A committed log entry cannot be decoded. Fields: index."}
	ConfigAccepted     = Event{108, logrus.InfoLevel, "configuration accepted", "The configuration version is committed. Fields: version, index."}
	RoutesAccepted     = Event{110, logrus.InfoLevel, "routing table accepted", "The table is committed. Fields: version, index."}
	SnapshotSent       = Event{111, logrus.InfoLevel, "snapshot sent", "The leader sent its state to a replica that lags behind the log. Fields: peer, index (of the last log entry in the snapshot), config and routes (versions that the snapshot holds)."}
	SnapshotUnverified = Event{112, logrus.InfoLevel, "snapshot not yet installed", "The leader runs an earlier build, whose snapshot may lack entries that its index covers. The replica installs the leader's next snapshot if that has the same index: about a second later, once no change is under way. Fields: peer, index."}
	ProofObtained      = Event{120, logrus.InfoLevel, "currency proof obtained", "This node knows again, or for the first time, which routing table is the newest; logged if revocation is strict, or a tenant has a rate. Fields: version (the newest one that is known), table (the version in force here)."}
	ProofExpired       = Event{121, logrus.WarnLevel, "currency proof expired", "For most of revocation.limit_ms nobody could tell this node which routing table is the newest, or it could not fetch that table. With strict revocation it refuses requests with keys (503, reason unproven) and leaves the list of entries. Fields as in 120."}
	HubOpened          = Event{109, logrus.InfoLevel, "membership hub opened", "This replica is the leader and collects the membership. Fields: epoch."}
)

// Events of nodes: 200 to 299.
var (
	NodeStarted         = Event{200, logrus.InfoLevel, "node started", "Fields: node, zone; from serve also callers, peers, version (of the program); from edge and platform also name, boot (start of the process), found (whether the node may create the control cluster), seeds."}
	NodeReady           = Event{201, logrus.InfoLevel, "node ready", "The node has a confirmed configuration and membership and serves callers."}
	ConfigInForce       = Event{202, logrus.InfoLevel, "configuration in force", "This node applies the configuration version. Fields: version."}
	ControlLeaseExpired = Event{203, logrus.WarnLevel, "control lease expired", "The node keeps serving while it reaches most entries and none of them knows a newer membership."}
	ControlLeaseRenewed = Event{204, logrus.InfoLevel, "control lease renewed", "Logged after event 203, when the node has a control lease again. No fields."}
	NodeIsolated        = Event{205, logrus.WarnLevel, "node isolated", "The node has no control lease, and most of the entries that it polled did not answer; it refuses requests as not run. Fields: heard (entries that answered, including this node), asked (entries polled, including this node)."}
	DrainStarted        = Event{206, logrus.InfoLevel, "drain started", "The node starts a graceful stop. Fields: why (signal or other cause)."}
	DrainEnded          = Event{207, logrus.InfoLevel, "drain ended", "The node accepts no more requests. Fields: from serve heard (whether all live nodes confirmed in time that they list this node as draining); from edge and platform open (requests still in flight)."}
	PeerRefused         = Event{208, logrus.WarnLevel, "peer refused", "The certificate of another node was refused."}
	NodeStopped         = Event{209, logrus.InfoLevel, "node stopped", "The last event of a node; with an error if the node failed."}
	ConfigFromPeer      = Event{210, logrus.InfoLevel, "configuration taken from a peer", "Control is unreachable, and a peer has a newer accepted version. Fields: version, peer."}
	RoutesInForce       = Event{212, logrus.InfoLevel, "routing table in force", "This node applies the routing table. Fields: version, routes (number of routes)."}
	RoutesUnreadable    = Event{213, logrus.ErrorLevel, "routing table unreadable", "This node cannot decode a committed routing table and keeps its current one. Fields: version."}
	RoutesFetchFailed   = Event{214, logrus.WarnLevel, "routing table not fetched", "A peer has a newer routing table but did not send it in time; the node tries again."}
	ReplicaReopening    = Event{215, logrus.WarnLevel, "reopening control replica", "The replica stopped for another reason than the stop of the node, such as a disk failure (event 106); it is reopened from the state on disk. The error is the reason."}
	RoutesRefused       = Event{217, logrus.WarnLevel, "routing table refused", "An operator submitted an invalid routing table."}
	LocalCopyFailed     = Event{220, logrus.WarnLevel, "local copy not written or read", "The copy of the routing table or of the membership on the local disk could not be written or read. These copies allow a host to serve early after a power failure. Fields: file (after a failed write only)."}
	SettingsReloaded    = Event{218, logrus.InfoLevel, "settings reloaded", "Fields: why (cause of the reload), seeds."}
	SettingsRefused     = Event{219, logrus.WarnLevel, "changed settings refused", "The settings file cannot be read or is invalid; the node keeps its current settings. Fields: why (cause of the reload)."}
	LeaderReached       = Event{221, logrus.InfoLevel, "control leader reached", "The leader was reached for the first time, or again after it was unreachable. Fields: leader."}
	LeaderUnreachable   = Event{222, logrus.WarnLevel, "control leader unreachable", "An operator's call found no control host with a quorum before its deadline."}
	ListenFailed        = Event{223, logrus.WarnLevel, "optional listener failed", "The metrics address cannot be opened; the node serves without a metrics listener."}
	ReplicaUnresponsive = Event{224, logrus.WarnLevel, "control replica does not answer", "The replica did not answer the status request of the metrics endpoint; its disk may be hanging."}
	RoutesRestored      = Event{225, logrus.ErrorLevel, "routing table committed again", "The control leader's state lacked the routing table in force, which it must have accepted before: its state came from a snapshot of an earlier build. It commits the table once more. Fields: version (of the table in force), held (by the state)."}
	SeedIgnored         = Event{226, logrus.WarnLevel, "seed ignored", "An entry of the list of seeds is no IP address with a port; the other seeds are used. Fields: seed."}
	HostChanged         = Event{216, logrus.InfoLevel, "host changed", "This node learned that a node joined, left, failed, restarted or changed its readiness. Fields: host, state, boot (start of its process), seq (version of its record), ready."}
	SettingsInvalid     = Event{211, logrus.ErrorLevel, "settings invalid", "Not logged at present: the command prints the file, line and key of each problem to standard error and exits with code 3."}
)

// Events of servers and requests: 300 to 399.
var (
	ServerAnnounced     = Event{300, logrus.InfoLevel, "server announced", "A server instance announced itself to this node for the first time or with a change. Fields: server, service, zone; from serve also instance, draining; from edge and platform also address, state, born, seq (version of its record)."}
	ServerLeaseEnded    = Event{301, logrus.InfoLevel, "server lease ended", "The server stopped announcing itself or has shut down. Fields: server; from serve also instance; from edge and platform, if the lease expired, also service, born, seq (version of its record)."}
	ServerDied          = Event{302, logrus.WarnLevel, "server died with requests in flight", "Fields: server; from serve also instance, requests (number in flight); from edge and platform also born (start of the server in Unix milliseconds), fingerprint (of a request in flight), answered (whether that request had been answered before)."}
	ServerSilent        = Event{303, logrus.WarnLevel, "silent connection closed", "The server did not answer within server.silence. Fields: server, request."}
	AnswerRejected      = Event{304, logrus.WarnLevel, "server answer rejected", "The answer was late, truncated, or belonged to another request, shard or index version. Fields: server, reason, request."}
	AnnouncementRefused = Event{305, logrus.WarnLevel, "announcement refused", "The credential was wrong or the content names no server to use; other servers are not affected. From edge and platform limited to 20 lines a second. Fields: remote (not from serve if the content was invalid); from edge and platform also server."}
	AccessRefused       = Event{306, logrus.WarnLevel, "access refused", "The account or the secret is wrong or missing. Fields: remote, account, path."}
	RequestQuarantined  = Event{307, logrus.WarnLevel, "request refused as quarantined", "Servers crashed while they ran the request. Fields: fingerprint; from serve also account, service; from edge and platform also request, route and the evidence: deaths (servers that died under it), crashes (as how many they count; fewer if the request had been answered before and servers died at the same time), answered (whether it had), trials (servers that got it since to find out), next_ms (time until the next trial, or until the suspicion ends)."}
	WriteUnknown        = Event{308, logrus.WarnLevel, "write outcome unknown", "It is unknown whether the server executed the write. Fields: account, service, claim, server, reason."}
	RequestServed       = Event{310, logrus.InfoLevel, "request served", "Logged for one in 256 successful requests, chosen by the request's ID, and for successful requests that were late. Fields: request, route, tenant (on tables with tenants), table (routing table version), status, reason, took_ms, left_ms (time left until the deadline), base_ms (usual duration of a sub-request), late, parts (shards answered), missing (shards not answered), behind (shards expected to be late because all their servers had long queues when the request arrived), hedges, tries (slow, open or failed sub-requests: shard, server, send time, duration, conn=NUMBER/PLACE as in 319 if there was an answer, reason of failure, with :STATUS if the server answered with a failure)."}
	RequestFailed       = Event{311, logrus.WarnLevel, "request failed", "Fields as in 310; of a request that was passed on only request, route, tenant, status, reason, took_ms and relays (the nodes that got it). Together with the late requests of 310, limited to 20 events per second on each node."}
	ServerLimitChanged  = Event{312, logrus.InfoLevel, "server limit changed", "A server named a limit on the requests of all hosts, or names none any more. Fields: server, limited, limit (requests per second)."}
	ServerLimited       = Event{313, logrus.InfoLevel, "requests to a limited server", "Logged at most every 4 s for each server that names a limit. Fields: server, limit (requests per second of all hosts), over_ms (the time that is counted), first, hedges, retries (sub-requests that this node sent in that time)."}
	ServersOutOfReach   = Event{314, logrus.WarnLevel, "reach of servers changed", "This node has lost most of the servers that it tried lately, so that it seems to be cut off from them, or reaches them again. Fields: cut, tried (servers tried lately), lost (those without an answer)."}
	RelayFailed         = Event{315, logrus.WarnLevel, "relay failed", "This node is cut off from the servers and passed a request to another node, which did not answer in time. Fields: request, route, peer."}
	RequestDiverted     = Event{316, logrus.InfoLevel, "request diverted", "This node turned out to be cut off while the request waited for servers; it goes on through another node. Fields: request, route, after_ms."}
	ServerLeaving       = Event{317, logrus.InfoLevel, "server leaves", "A server said in an answer that it is about to stop; it gets no more requests. Fields: server."}
	RecordIgnored       = Event{318, logrus.WarnLevel, "membership record ignored", "A record in a packet of another node, or in the copy on the disk, cannot be decoded or names no server to use; the other records count. Limited, together with event 305, to 20 lines a second. Fields: source (the node that sent it or knows the server, or the file), records (how many); server if it can be decoded."}
	AnswerDiscarded     = Event{319, logrus.WarnLevel, "stray answer discarded", "A server sent what does not answer the request that waited on the connection; the connection is closed. Limited, together with event 320, to 20 lines a second. Fields: server, conn (number of the connection among those of this host to the server), place (number of the request on the connection), request (that waited), kind (other: the answer names another request, or is signed and names none; unnamed: it is unsigned and names none; spliced: it breaks off and goes on with another answer; trailing: bytes after the answer), answer (ID in the answer), earlier (whether the connection has carried a request with that ID), status."}
	RequestRepeated     = Event{320, logrus.InfoLevel, "request repeated at a server", "An idle connection has carried a request with the same ID, whose late second answer could be mistaken for the answer to this one; the request uses another connection. Fields: server, conn (that was passed over), request."}
	RequestRefused      = Event{345, logrus.WarnLevel, "request refused", "The request was refused before any server was chosen. Fields: request, route, tenant (unless the key is unknown), status, reason (key: the key is missing, unknown or sent twice; unproven: this node cannot prove that its routing table is recent; quota: the tenant's quota is used up; no_quota: no control host said what is left of it), retry_ms. Limited to 20 lines a second on each node, and to 20 for unknown keys."}
	QuotaGranting       = Event{330, logrus.InfoLevel, "quota grants started or stopped", "This control host has, or has no longer, a share of the tenants' limits. It has none while it is not a voter, has just become one, or has had no contact with the control leader for about 3 s. Logged only while a tenant has a limit. Fields: granting, voters (that share the limits)."}
	QuotaExhausted      = Event{331, logrus.InfoLevel, "tenant over its quota", "A request was refused with 429 because no control host that answered had any of the tenant's quota left. Logged at most every 10 s for each tenant on each node, for at most 100 tenants. Fields: tenant, retry_ms (what the caller is told)."}
	QuotaUnavailable    = Event{332, logrus.WarnLevel, "quota not available", "A request was refused with 503 because no control host granted or denied it in time. Logged like event 331. Fields: tenant."}
	QuotaTooSmall       = Event{333, logrus.WarnLevel, "quota too small to be shared", "A tenant's burst and the tolerance of the limits make less than one request for each voter, or the rate is too high for the overage: this control host grants nothing. A higher burst or tolerance mends it. Logged like event 331. Fields: tenant, voters."}
	EvacuationsInForce  = Event{335, logrus.WarnLevel, "evacuated zones changed", "This node sends nothing more to the servers of the listed zones. Fields: version (of the set), zones (all that are evacuated; empty if none is)."}
	EvacuationAccepted  = Event{336, logrus.InfoLevel, "evacuation committed", "The control group has accepted a new set of evacuated zones. Fields: version, zones, index (of the log entry)."}
	EvacuationNotKnown  = Event{337, logrus.WarnLevel, "evacuated zones not fetched", "A peer knows a newer set of evacuated zones but did not send it in time; the node tries again. Fields: peer."}
	EvacuationRestored  = Event{338, logrus.ErrorLevel, "evacuated zones committed again", "The control leader's state lacked the set of evacuated zones in force: it came from a snapshot of an earlier build. The leader commits the set once more. Fields: version (in force), held (by the state)."}
	ServerCold          = Event{339, logrus.InfoLevel, "server warms up", "A server stated to this node that it is cold, or that it is warm again. Fields: server, service, cold_ms (remaining; 0 once it is warm)."}
	CallerYielded       = Event{340, logrus.WarnLevel, "caller yields", "Callers hold more than the node allows (limits.caller_mb); a connection was closed, or its request was refused as not run, so that others find room. Limited to 20 lines a second. Fields: listener (callers, control, ready, entries, metrics, pages), kind (idle: a connection without a request; head, body: one that was not complete; answer: one that the caller did not read), remote (address, or network of an IPv6 address), held (bytes that the connection held), crowd (bytes that all connections from that address to this listener held)."}
	TrialEnded          = Event{341, logrus.InfoLevel, "suspected request tried or answered", "A request during which servers had crashed was answered, which clears it on all nodes, or a trial of it on one server was not answered. Fields: fingerprint, answered."}
	RecordFailed        = Event{309, logrus.WarnLevel, "write record failed", "The outcome could not be recorded in time; a resend of the write gets the outcome unknown. Fields: claim."}
)

// Catalogue lists every event by number.
var Catalogue = []Event{
	ReplicaStarted, RoleChanged, ClusterFounded, MembersChanged, SnapshotCreated, SnapshotInstalled, DiskFailed, CommandUnreadable, ConfigAccepted, HubOpened, RoutesAccepted, SnapshotSent, SnapshotUnverified, ProofObtained, ProofExpired,
	NodeStarted, NodeReady, ConfigInForce, ControlLeaseExpired, ControlLeaseRenewed, NodeIsolated, DrainStarted, DrainEnded, PeerRefused, NodeStopped, ConfigFromPeer, SettingsInvalid,
	RoutesInForce, RoutesUnreadable, RoutesFetchFailed, ReplicaReopening, HostChanged, RoutesRefused, SettingsReloaded, SettingsRefused, LocalCopyFailed, LeaderReached, LeaderUnreachable, ListenFailed, ReplicaUnresponsive, RoutesRestored, SeedIgnored,
	ServerAnnounced, ServerLeaseEnded, ServerDied, ServerSilent, AnswerRejected, AnnouncementRefused, AccessRefused, RequestQuarantined, WriteUnknown, RecordFailed, RequestServed, RequestFailed,
	ServerLimitChanged, ServerLimited, ServersOutOfReach, RelayFailed, RequestDiverted, ServerLeaving, RecordIgnored, AnswerDiscarded, RequestRepeated, CallerYielded, TrialEnded,
	QuotaGranting, QuotaExhausted, QuotaUnavailable, QuotaTooSmall,
	EvacuationsInForce, EvacuationAccepted, EvacuationNotKnown, EvacuationRestored, ServerCold,
	RequestRefused,
}
