// Messages between the processes of hickoryhollow, and records of the journal in the data folder.
// Unsigned 64-bit numbers are carried in i64 with the same bit pattern.
// src/wire/gen is generated from this file with: thrift --gen cpp:no_skeleton -out src/wire/gen src/wire/hickoryhollow.thrift
namespace cpp HickoryHollow.Wire

struct Member { 1: string instance, 2: i64 replica }

struct LogEntry { 1: i64 term, 2: i32 kind, 3: binary command, 4: list<Member> members }

struct StateSnapshot { 1: i64 index, 2: i64 term, 3: list<Member> members, 4: binary state }

struct VoteRecord { 1: i64 term, 2: optional i64 votedFor }
struct EntriesRecord { 1: i64 first, 2: list<LogEntry> entries }
struct IdentityRecord { 1: Member owner, 2: i64 incarnation }

// One record of a journal batch; exactly one field is set.
struct JournalRecord { 1: optional VoteRecord vote, 2: optional EntriesRecord entries, 3: optional IdentityRecord identity }
struct JournalBatch { 1: list<JournalRecord> records }
struct JournalSnapshot { 1: IdentityRecord identity, 2: VoteRecord vote, 3: StateSnapshot snapshot, 4: list<LogEntry> entries }

// `handedOver` is the term of a leader that has given up its lease for this election.
struct VoteRequest { 1: bool isPreVote, 2: i64 term, 3: i64 lastIndex, 4: i64 lastTerm, 5: optional i64 handedOver }
struct VoteReply { 1: bool isPreVote, 2: i64 term, 3: bool isGranted }
struct AppendRequest { 1: i64 term, 2: i64 previousIndex, 3: i64 previousTerm, 4: list<LogEntry> entries, 5: i64 committed, 6: i64 round }
struct AppendReply { 1: i64 term, 2: bool isAccepted, 3: i64 matched, 4: i64 round }
struct SnapshotRequest { 1: i64 term, 2: StateSnapshot snapshot, 3: i64 round }
struct JoinRequest { 1: bool isEmpty }
struct StaleDiskNotice { }
// A build that does not know the next three drops them: a voter that stops is then replaced as a silent one.
struct LeaveRequest { }
struct LeaveReply { 1: bool isAwaited, 2: bool isVoter }
struct HandOver { 1: i64 term }

union AgreementPayload {
  1: VoteRequest voteRequest
  2: VoteReply voteReply
  3: AppendRequest appendRequest
  4: AppendReply appendReply
  5: SnapshotRequest snapshotRequest
  6: JoinRequest joinRequest
  7: StaleDiskNotice staleDiskNotice
  8: LeaveRequest leaveRequest
  9: LeaveReply leaveReply
  10: HandOver handOver
}

struct AgreementMessage { 1: Member from_, 2: i64 fromIncarnation, 3: string to, 4: optional i64 toReplica, 5: AgreementPayload payload }

struct Claimant { 1: string instance, 2: i64 incarnation, 3: i64 sequence }
struct WorkId { 1: string workspace, 2: string serviceName, 3: string key }
struct RecordedAnswer { 1: i32 status, 2: string contentType, 3: binary body, 4: bool isKept }

struct SubmitSettings { 1: string change, 2: string author, 3: i64 expected, 4: string inventory, 5: string rules }
struct ClaimWork { 1: WorkId work, 2: string requestDigest, 3: Claimant claimant }
struct CompleteWork { 1: WorkId work, 2: Claimant claimant, 3: i32 verdict, 4: RecordedAnswer answer }
struct AbandonOwner { 1: string instance, 2: i64 before }
struct AdvanceTime { }
// A complete routing configuration. The one with the highest version is active.
struct RoutingDocument { 1: i64 version, 2: binary text }
// Makes an instance the holder of all singleton duties. The index of its log entry is the fencing token.
struct TakeDuties { 1: string holder, 2: i64 incarnation }
// Requests that began in one usage window, by workspace. `token` is that of the holder who counted.
struct UsageCounts { 1: i64 window, 2: map<string, i64> starts }
struct FixUsage { 1: UsageCounts counts, 2: i64 token, 3: optional bool isStart }
struct UsageSent { 1: i64 window }

// A build that does not know a field sees the others: commands that it may pass over set `advanceTime` as well.
union CommandBody {
  1: SubmitSettings submitSettings
  2: ClaimWork claimWork
  3: CompleteWork completeWork
  4: AbandonOwner abandonOwner
  5: AdvanceTime advanceTime
  6: RoutingDocument submitRouting
  7: TakeDuties takeDuties
  8: FixUsage fixUsage
  9: UsageSent usageSent
}

struct Command { 1: i64 time, 2: CommandBody body }

struct SubmitOutcome { 1: bool isAccepted, 2: i64 version, 3: string author }
struct ClaimOutcome { 1: i32 kind, 2: RecordedAnswer answer }
// `version` is the active one after the command.
struct RoutingOutcome { 1: i64 version }
struct CommandOutcome { 1: optional SubmitOutcome submit, 2: optional ClaimOutcome claim, 3: optional RoutingOutcome routing }

struct Settings { 1: i64 version, 2: string author, 3: string inventory, 4: string rules }
struct Claim { 1: WorkId work, 2: string requestDigest, 3: Claimant claimant, 4: i32 state, 5: RecordedAnswer answer, 6: i64 since }
struct RememberedChange { 1: string change, 2: SubmitOutcome outcome }
// Present holder of the singleton duties.
struct DutyGrant { 1: string holder, 2: i64 incarnation, 3: i64 token, 4: i64 since }
struct UsageLedger { 1: i64 newestFixed, 2: list<UsageCounts> unsent }
struct SharedState { 1: Settings settings, 2: list<Claim> claims, 3: list<RememberedChange> changes, 4: i64 time, 5: optional RoutingDocument routing, 6: optional DutyGrant duties, 7: optional UsageLedger usage }

// Request of an entry instance to a state instance. `known` is the version that is active at the entry instance.
struct SettingsPoll { 1: i64 known }
struct SettingsPollReply { 1: i64 version, 2: optional Settings settings }
struct ProposeRequest { 1: CommandBody body }
// When `outcome` is missing, the proposal may or may not be committed later.
struct ProposeReply { 1: optional CommandOutcome outcome }
// The instance that received the request is not the leader; `leader` is the instance that it believes to be.
struct NotLeader { 1: optional string leader }

struct Request { 1: i64 id, 2: optional SettingsPoll poll, 3: optional ProposeRequest propose }
struct Reply { 1: i64 id, 2: optional SettingsPollReply poll, 3: optional ProposeReply propose, 4: optional NotLeader notLeader }

struct Capabilities { 1: bool priorities, 2: bool resume, 3: bool cancel, 4: bool checksFencing }
struct BackendRecord { 1: string id, 2: i64 incarnation, 3: i64 sequence, 4: i32 state, 5: string serviceName, 6: list<string> models, 7: string failureDomain, 8: i32 slots, 9: Capabilities capabilities, 10: optional string serverName, 11: optional string softwareVersion, 12: optional bool isReclaimable, 13: optional i64 leavesInMs }
struct Renewal { 1: string id, 2: i64 incarnation, 3: i64 sequence }
struct LoadNotice { 1: string id, 2: i64 incarnation, 3: i32 running, 4: i64 ageMicroseconds }
struct FleetNews { 1: list<BackendRecord> records, 2: list<Renewal> renewals, 3: list<LoadNotice> loads }

// Requests of the sender at one backend server; `longRunning` is the number of those in long classes. `backend` is a 32-bit
// hash of the server's address, which the receiver looks up among the servers that it knows.
struct InFlight { 1: i32 backend, 2: i32 running, 3: i32 longRunning }
// `tier` is the highest-priority tier of which a request waits for the pool at the sender.
struct WaitingTier { 1: string pool, 2: i32 tier }
struct PeerLoad { 1: list<InFlight> inFlight, 2: list<WaitingTier> waiting }

// The accepting side of a link sends a Challenge as its first frame; the connecting side answers with a Hello.
struct Challenge { 1: string instance, 2: binary nonce }
struct Hello { 1: string instance, 2: i64 incarnation, 3: binary proof }

// A server ended the connection while it answered a prompt. `server` is a hash of its address and incarnation, `parts` are the
// ids of the parts that other requests may share.
struct PromptCrash { 1: i64 server, 2: i32 sentForMs, 3: i32 ageMs, 4: list<i64> parts }
// A server answered a prompt with this part to the end, so many milliseconds ago.
struct PartAnswered { 1: i64 part, 2: i32 ageMs }
// New observations about the parts of prompts: from an entry instance, or passed on by a state instance to another. The parts
// in `quarantined` are those that the sender holds in quarantine when a link opens.
struct PromptEvidence { 1: list<PromptCrash> crashes, 2: list<PartAnswered> answered, 3: list<i64> quarantined }

union PeerMessage {
  1: AgreementMessage agreement
  2: Request request
  3: Reply reply
  4: FleetNews fleetNews
  5: PeerLoad peerLoad
  6: PromptEvidence promptEvidence
}

// Messages of deployments whose instances discover each other through seeds.

// Address at which a state instance accepts links.
struct StateAddress { 1: string listen, 2: string failureDomain }
// First frame of each side of a link. `listen` is empty when the sender is not a state instance; `states` are the state
// instances that the sender knows. `relayListen` is the `ip:port` at which an entry instance accepts relayed requests; left out
// if it accepts none.
struct LinkHello { 1: string instance, 2: string listen, 3: string failureDomain, 4: i64 incarnation, 5: list<StateAddress> states, 6: optional string relayListen }
// Asks which accepted configuration is the newest; `held` is the version that the sender has. `needsWhole` is true after a
// difference did not fit the text that the sender has; the next configuration is then sent whole. A sender that leaves it out
// knows no differences.
struct FreshnessPoll { 1: i64 id, 2: i64 held, 3: optional bool needsWhole }
// `confirmed` is true when `version` was the newest accepted version at some time after the poll was received. `document` is
// set between state instances when a configuration newer than `held` is known; an entry instance receives a `routing` or a
// `routingDelta` message for it. `entryInstances` is the number of entry instances that the sender
// knows of. `trueTimeMs` is the time since 1970 by the median of the state instances' clocks, if usage is reported.
struct FreshnessReply { 1: i64 id, 2: bool confirmed, 3: i64 version, 4: optional RoutingDocument document, 5: i32 entryInstances, 6: list<StateAddress> states, 7: optional i64 trueTimeMs }
struct RoutingSubmit { 1: i64 id, 2: RoutingDocument document }
// `result` is the result of the proposal: 0 committed, 1 not the leader, 2 unknown.
struct RoutingSubmitReply { 1: i64 id, 2: i32 result, 3: i64 version }
// One part of a text: `length` bytes of the base text from `start`, followed by `text`.
struct DeltaPart { 1: i32 start, 2: i32 length, 3: binary text }
// A routing configuration as its difference from the one of version `base`. `digest` is a 64-bit hash of the whole text.
struct RoutingDelta { 1: i64 base, 2: i64 version, 3: i64 digest, 4: list<DeltaPart> parts }

// Recent calls of entry instances at one backend server. `witnesses` is the number of entry instances that saw a failure.
struct BackendCalls { 1: i32 answers, 2: i32 failures, 3: i32 witnesses }
// Work of entry instances at one backend server: `requests` in progress, `interactive` ones among them, and uncached
// `promptTokens` of the requests that have no first token yet. `backend` is a hash of the server's address. `calls` is left out
// if there were none, and in reports to entry instances if none failed.
struct BackendUse { 1: i32 backend, 2: i32 requests, 3: i32 promptTokens, 4: i32 interactive, 5: optional BackendCalls calls }
// From an entry instance: its own usage. From a state instance to another: the sum over the entry instances attached to the
// sender; to an entry instance: the sum over all entry instances. `entryInstances` is the number of those in the sum.
struct UseReport { 1: list<BackendUse> uses, 2: i32 entryInstances }

// A backend server has a prompt prefix in its cache, or is about to. `parts` is the hash of the prefix, `tokens` its length,
// `backend` a hash of the server's address.
struct KeptPrompt { 1: i64 parts, 2: i32 backend, 3: i32 tokens }
// Cached prefixes that are new since the sender's previous message of this type.
struct KeptPrompts { 1: list<KeptPrompt> prompts }

// From a state instance to an entry instance: the parts of which whole answers are to be reported, and those that must not be
// sent. Replaces the sender's previous message of this type.
struct PromptFindings { 1: list<i64> suspects, 2: list<i64> quarantined }

// The limit that one start of a server named last, in thousandths of a request per second; left out if it names none any more.
// `ageMs` ago it said so.
struct ServerLimit { 1: i64 server, 2: optional i32 rate, 3: i32 ageMs }
// `wanted` is the number of permits by priority, 0 first; later priorities are left out if they are zero. `unused` is the number of
// permits that ran out unused.
struct LimitDemand { 1: ServerLimit limit, 2: list<i32> wanted, 3: i32 unused }
// Requests at a server that names a rejection limit: `limit.rate` is the number of rejections a second that it withstands, in
// thousandths. `running` is the number in progress (from a state instance: slots in use or leased), `wanted` the number that would be
// in progress with enough slots, `grant` the number of the last grant received, `rejected` counts since the sender's previous report.
struct SlotDemand { 1: ServerLimit limit, 2: i32 slots, 3: i32 running, 4: i32 wanted, 5: optional i64 grant, 6: optional i32 rejected, 7: optional i32 starvedMs, 8: optional bool isNewStart }
// Demand of an entry instance, or of all entry instances attached to a state instance.
struct LimitReport { 1: list<LimitDemand> demands, 2: optional list<SlotDemand> slots }
// Permits for the receiver by priority. `wantedByAll` is the number that all entry instances want.
struct LimitGrant { 1: ServerLimit limit, 2: list<i32> permits, 3: i32 wantedByAll }
// Requests that the receiver may have in progress at a server that names a rejection limit; replaces the lease of a lower `number`.
// Without a number, only the limit is told.
struct SlotGrant { 1: ServerLimit limit, 2: i32 slots, 3: i32 leased, 4: optional i64 number }
// From a state instance to an entry instance, several times in a second while any server names a limit. `slots` is set, if only to
// an empty list, while any server names a rejection limit.
struct LimitUpdate { 1: list<LimitGrant> grants, 2: optional list<SlotGrant> slots }

// A stream that began at a server of a version; both are hashes. From an entry instance: its own streams; from a state instance to
// another: those of the entry instances attached to it.
struct StreamOrigin { 1: i64 stream, 2: i64 version }
struct StreamOrigins { 1: list<StreamOrigin> streams }
// Asks at which version of the service's software a stream began. `version` is left out of the reply if that is not known.
struct StreamOriginQuery { 1: i64 id, 2: i64 stream, 3: string serviceName }
struct StreamOriginReply { 1: i64 id, 2: optional i64 version }

// Address at which an entry instance accepts relayed requests.
struct EntryAddress { 1: string listen, 2: string failureDomain }
// From a state instance to another: all entry instances attached to the sender that accept relayed requests. From a state instance
// to an entry instance: those that it may relay requests through. Replaces the sender's previous message of this type.
struct EntryAddresses { 1: list<EntryAddress> entries }

// Requests of one workspace that began in one usage window, counted since the start of the entry instance.
struct WorkspaceStarts { 1: i64 window, 2: string workspace, 3: i64 starts }
struct StartCounts { 1: string instance, 2: i64 incarnation, 3: list<WorkspaceStarts> starts }
// From an entry instance: its own counts; from a state instance to another: those of the entry instances attached to the sender.
// Counts are cumulative, so the largest one holds. `passOnTo` are state instances that the sender does not reach; a receiver that
// reaches them passes the report on.
struct StartReport { 1: list<StartCounts> counts, 2: optional list<string> passOnTo }
// From a state instance to another: its time of day.
struct ClockReading { 1: i64 wallClockMs }
// Demand for one service within the last second: at an entry instance, or at all that are attached to a state instance.
// `promptTokens` are those that engines have to prefill, `waiting` the requests that wait at the moment.
struct ServiceDemand { 1: string serviceName, 2: i32 arrivals, 3: i64 promptTokens, 4: i32 refused, 5: i32 waiting }
struct DemandReport { 1: list<ServiceDemand> demands }

// Work that calls which have ended did at one backend server: `work` in prompt tokens, or in calls for a service without prompts,
// including what was ahead of each call when it began; `milliseconds` from the begin of each call to its first token or answer.
// `backend` is a hash of the server's address.
struct ServerWork { 1: i32 backend, 2: i32 work, 3: i32 milliseconds, 4: i32 calls }
// From an entry instance: its calls since its previous report. From a state instance to another: those of the entry instances attached
// to the sender; to an entry instance: those of all entry instances.
struct WorkReport { 1: list<ServerWork> servers }

// Requests of one service and priority that ended at an engine: the sum of the times they took and of the mean number of requests in
// progress at their engines, in thousandths, and the lowest of these times.
struct ClassCompletions { 1: string serviceName, 2: i32 priority, 3: i32 ended, 4: i64 tookMs, 5: i64 requests, 6: i64 leastMs }
// Work of one workspace at one service and priority: `work` that began since the sender's previous report, `waiting` work that waits.
struct WorkspaceWork { 1: string serviceName, 2: i32 priority, 3: string workspace, 4: i64 work, 5: i64 waiting }
// From an entry instance: its own requests since its previous report. From a state instance to another: those of the entry instances
// attached to the sender; to an entry instance: those of all entry instances.
struct AdmissionReport { 1: optional list<ClassCompletions> completions, 2: optional list<WorkspaceWork> workspaces }

union LinkMessage {
  1: LinkHello hello
  2: AgreementMessage agreement
  3: FleetNews fleetNews
  4: FreshnessPoll freshnessPoll
  5: FreshnessReply freshnessReply
  6: RoutingSubmit routingSubmit
  7: RoutingSubmitReply routingSubmitReply
  8: RoutingDocument routing
  9: UseReport uses
  10: KeptPrompts keptPrompts
  11: RoutingDelta routingDelta
  12: PromptEvidence promptEvidence
  13: PromptFindings promptFindings
  14: LimitReport limitReport
  15: LimitUpdate limitUpdate
  16: StreamOrigins streamOrigins
  17: StreamOriginQuery streamOriginQuery
  18: StreamOriginReply streamOriginReply
  19: EntryAddresses entryAddresses
  20: StartReport startReport
  21: ClockReading clockReading
  22: DemandReport demandReport
  23: WorkReport workReport
  24: WorkReport workTotals
  25: AdmissionReport admissionReport
  26: AdmissionReport admissionTotals
}
