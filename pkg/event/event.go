// Package event defines the catalogue of numbered log events. docs/events.md
// documents them for operators, and a test compares the two.
package event

import (
	"context"
	"log/slog"
)

// ID is the number of a log event. Numbers are never reused, so that operators
// can filter on them.
type ID int

// Events of configuration: 1000 to 1099.
const (
	ConfigLoaded            ID = 1000
	ConfigStale             ID = 1001
	ConfigFresh             ID = 1002
	ConfigCommitted         ID = 1003
	ConfigAccepted          ID = 1004
	ConfigConflict          ID = 1005
	ConfigOutcomeUnknown    ID = 1006
	NodeRegistered          ID = 1007
	NodeRemoved             ID = 1008
	ConfigAcceptanceDelayed ID = 1009
	PlatformConfigLoaded    ID = 1010
	RowUnreadable           ID = 1011
	ChangeHistoryTruncated  ID = 1012
	EvacuationChanged       ID = 1013
	TableReceivedFromPeer   ID = 1014
	NodeIsolated            ID = 1015
	NodeConnected           ID = 1016
	StoreWatchChanged       ID = 1017
	StoreOutageStarted      ID = 1018
	StoreOutageEnded        ID = 1019
	StoreEraChanged         ID = 1020
	InstanceLeaving         ID = 1021
	HistoryReceived         ID = 1022
	HeldRowApplied          ID = 1023
	TargetPaused            ID = 1024
	TargetLimitNamed        ID = 1025
	TargetLimitChanged      ID = 1026
	TargetLimitEnded        ID = 1027
	StoreRecovered          ID = 1028
	EntryRemovalDeferred    ID = 1029
	StoreOutageWithdrawn    ID = 1030
	EntryOverwritten        ID = 1031
)

// Events of peers: 1100 to 1199.
const (
	PeerUp                ID = 1100
	PeerDown              ID = 1101
	PeerFrameMalformed    ID = 1102
	PeerUnresponsive      ID = 1103
	DataCentreUnreachable ID = 1104
	DataCentreReachable   ID = 1105
)

// Events of replica groups: 1200 to 1299.
const (
	GroupHealthy   ID = 1200
	GroupUnhealthy ID = 1201
	GroupFormed    ID = 1202
	GroupRepaired  ID = 1203
	GroupAbandoned ID = 1204
	LeaseAcquired  ID = 1205
	LeaseLost      ID = 1206

	LeaseReleased       ID = 1207
	GroupLoaded         ID = 1208
	GroupMoved          ID = 1209
	GroupReloading      ID = 1210
	GroupDissolved      ID = 1211
	AbandonedHostsFreed ID = 1212
	GroupUnplaceable    ID = 1213
	EngineOrderFenced   ID = 1214
	PlacementConflict   ID = 1215

	FormationLeaseAcquired ID = 1220
	FormationLeaseLost     ID = 1221
	GroupJoining           ID = 1222
	GroupOpened            ID = 1223
	GroupRetired           ID = 1224
	RetiredHostsFreed      ID = 1225
	HostStaging            ID = 1226
	HostOrderAnswered      ID = 1227
	HostUnresponsive       ID = 1228
	HostResponsive         ID = 1229
	HostUnassigned         ID = 1230
	HostAssigned           ID = 1231
)

// Events of requests: 1300 to 1399.
const (
	RequestRefused      ID = 1300
	AttemptFailed       ID = 1301
	ClaimOutcomeUnknown ID = 1302
	TargetCold          ID = 1303
	AttemptStarted      ID = 1304
	RequestQueued       ID = 1305
	RequestEnded        ID = 1306
	TargetStalled       ID = 1307
	TargetStallEnded    ID = 1308
	FallbackResumed     ID = 1309

	PromptPartQuarantined ID = 1310
	PromptPartReleased    ID = 1311
	RequestQuarantined    ID = 1312
	RequestReleased       ID = 1313
	QuarantineTrial       ID = 1314
	QuarantineLifted      ID = 1315
)

// Events of the process: 1400 to 1499.
const (
	NodeStarted         ID = 1400
	NodeReady           ID = 1401
	NodeDraining        ID = 1402
	NodeStopped         ID = 1403
	StoreDown           ID = 1404
	StoreUp             ID = 1405
	DrainWaitsForClaims ID = 1406
	SettingsReloaded    ID = 1407
	LogLinesDropped     ID = 1408
	InputDropped        ID = 1409
	CallFailed          ID = 1410
	LoopLate            ID = 1411
	ConnectionsClosed   ID = 1412
)

// Level is the severity of an event.
type Level int

// Levels.
const (
	Info Level = iota
	Warn
	Error
)

// Entry gives the level and the message of an event.
type Entry struct {
	ID      ID
	Level   Level
	Message string
}

// Catalogue lists all events in ascending order of their numbers.
var Catalogue = []Entry{
	{ConfigLoaded, Info, "configuration loaded"},
	{ConfigStale, Warn, "configuration is no longer fresh; sending no new work"},
	{ConfigFresh, Info, "configuration is fresh again; sending new work"},
	{ConfigCommitted, Info, "configuration committed"},
	{ConfigAccepted, Info, "configuration in force on all nodes"},
	{ConfigConflict, Warn, "configuration change conflicted with a concurrent change"},
	{ConfigOutcomeUnknown, Warn, "reply to a configuration change lost; reading its outcome from the store"},
	{NodeRegistered, Info, "node added to the registry"},
	{NodeRemoved, Warn, "node removed from the registry"},
	{ConfigAcceptanceDelayed, Warn, "configuration committed but not yet in force on all nodes"},
	{PlatformConfigLoaded, Info, "platform configuration loaded"},
	{RowUnreadable, Warn, "unreadable row in the platform's store; treating it as absent"},
	{ChangeHistoryTruncated, Info, "change history of a table is no longer available; reading the whole table"},
	{EvacuationChanged, Info, "set of evacuated data centres changed"},
	{TableReceivedFromPeer, Info, "table received from a peer"},
	{NodeIsolated, Warn, "neither the platform's store nor any peer is reachable; accepting no new work"},
	{NodeConnected, Info, "platform's store or a peer is reachable again"},
	{StoreWatchChanged, Info, "set of store tables watched by this node changed"},
	{StoreOutageStarted, Warn, "platform's store answers no reachable node"},
	{StoreOutageEnded, Info, "platform's store answers a node again, or too few peers are reachable to tell"},
	{StoreEraChanged, Warn, "platform's store came back from a copy and may have lost writes"},
	{InstanceLeaving, Info, "instance is leaving"},
	{HistoryReceived, Info, "history received from a peer"},
	{HeldRowApplied, Info, "row of a restored store applied after nothing contradicted it"},
	{TargetPaused, Info, "target asked for a pause"},
	{TargetLimitNamed, Info, "target named a limit of requests"},
	{TargetLimitChanged, Info, "target changed its limit of requests"},
	{TargetLimitEnded, Info, "limit of requests of a target ended"},
	{StoreRecovered, Info, "platform's store answers calls for the list of instances again"},
	{EntryRemovalDeferred, Info, "removal of an instance deferred after an outage of the store"},
	{StoreOutageWithdrawn, Info, "peers were answered throughout an assumed outage of the store"},
	{EntryOverwritten, Warn, "entry of an instance replaced by one that names none"},
	{PeerUp, Info, "link to peer up"},
	{PeerDown, Warn, "link to peer down"},
	{PeerFrameMalformed, Warn, "malformed frame from peer, link closed"},
	{PeerUnresponsive, Warn, "peer does not answer polls"},
	{DataCentreUnreachable, Warn, "most hosts of a data centre unreachable from this node"},
	{DataCentreReachable, Info, "hosts of a data centre reachable from this node again"},
	{GroupHealthy, Info, "replica group is healthy"},
	{GroupUnhealthy, Warn, "replica group is unhealthy"},
	{GroupFormed, Info, "replica group formed"},
	{GroupRepaired, Info, "replica group member replaced"},
	{GroupAbandoned, Warn, "replica group abandoned"},
	{LeaseAcquired, Info, "placement lease acquired"},
	{LeaseLost, Warn, "placement lease lost"},
	{LeaseReleased, Info, "placement lease released"},
	{GroupLoaded, Info, "replica group loaded"},
	{GroupMoved, Info, "replica group moved to another fabric domain"},
	{GroupReloading, Info, "replica group reloading"},
	{GroupDissolved, Info, "replica group dissolved"},
	{AbandonedHostsFreed, Warn, "hosts of an abandoned replica group freed"},
	{GroupUnplaceable, Warn, "no fabric domain has enough free hosts for a replica group"},
	{EngineOrderFenced, Warn, "engine refused an order with an outdated fencing token"},
	{PlacementConflict, Warn, "placement transaction conflicted with a concurrent write"},
	{FormationLeaseAcquired, Info, "formation lease acquired"},
	{FormationLeaseLost, Warn, "formation lease lost"},
	{GroupJoining, Info, "hosts ordered to join a replica group"},
	{GroupOpened, Info, "leader of a replica group ordered to serve"},
	{GroupRetired, Info, "replica group retired"},
	{RetiredHostsFreed, Info, "hosts of a retired replica group freed"},
	{HostStaging, Info, "host ordered to stage a model"},
	{HostOrderAnswered, Info, "order to a host ended"},
	{HostUnresponsive, Warn, "host does not answer"},
	{HostResponsive, Info, "host answers again"},
	{HostUnassigned, Warn, "host answers but is neither in a serving group nor free for one"},
	{HostAssigned, Info, "host is in a serving group or free for one again"},
	{RequestRefused, Info, "request refused"},
	{AttemptFailed, Warn, "attempt failed"},
	{ClaimOutcomeUnknown, Error, "outcome of an at-most-once request is unknown"},
	{TargetCold, Warn, "target became cold"},
	{AttemptStarted, Info, "attempt started"},
	{RequestQueued, Info, "request queued; all targets are full"},
	{RequestEnded, Info, "request ended"},
	{TargetStalled, Warn, "all streams of a target stalled"},
	{TargetStallEnded, Info, "target sends stream events again"},
	{FallbackResumed, Info, "silent target sends again; its stream continues there"},
	{PromptPartQuarantined, Warn, "part of prompts put into quarantine"},
	{PromptPartReleased, Info, "part of prompts released from quarantine"},
	{RequestQuarantined, Warn, "request put into quarantine"},
	{RequestReleased, Info, "request released from quarantine"},
	{QuarantineTrial, Info, "request with a trait in quarantine is tried"},
	{QuarantineLifted, Info, "quarantine lifted by an operator"},
	{NodeStarted, Info, "node started"},
	{NodeReady, Info, "node ready"},
	{NodeDraining, Info, "graceful shutdown started"},
	{NodeStopped, Info, "node stopped"},
	{StoreDown, Warn, "platform's store does not answer"},
	{StoreUp, Info, "platform's store answers again"},
	{DrainWaitsForClaims, Warn, "graceful shutdown is waiting for claims to be stored"},
	{SettingsReloaded, Info, "settings reload finished"},
	{LogLinesDropped, Warn, "log lines dropped"},
	{InputDropped, Error, "input could not be processed and was dropped"},
	{CallFailed, Error, "call in the background failed"},
	{LoopLate, Warn, "event loop is late"},
	{ConnectionsClosed, Warn, "connections closed to stay within the limits"},
}

// Find returns the catalogue entry of an event, and false for an unknown ID.
func Find(id ID) (Entry, bool) {
	for _, e := range Catalogue {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// Log writes a numbered event with its level and message from the catalogue. An
// event that is not in the catalogue is logged at level info without a message.
func Log(ctx context.Context, log *slog.Logger, id ID, attrs ...slog.Attr) {
	entry, _ := Find(id)
	level := slog.LevelInfo
	switch entry.Level {
	case Warn:
		level = slog.LevelWarn
	case Error:
		level = slog.LevelError
	case Info:
	}
	log.LogAttrs(ctx, level, entry.Message, append([]slog.Attr{slog.Int("event", int(id))}, attrs...)...)
}
