// Calls between the processes of quetzalyoke. Times are milliseconds unless a name says otherwise.
namespace cpp quetzalyoke.wire

// Hybrid logical clock, carried by messages so that the time line keeps causal order.
struct HybridTime {
    1: i64 physicalMicros,
    2: i64 logical,
}

// Whether a request that did not complete reached a backend server.
enum RunState {
    NotRun = 0,
    Unknown = 1,
    Partial = 2,
    Completed = 3,
}

enum ErrorCode {
    None = 0,
    NotAuthenticated = 1,
    Draining = 2,
    QueueFull = 3,
    DeadlinePassed = 4,
    UnknownAttempt = 5,
    BackendFailed = 6,
    BackendCrashed = 7,
    Cancelled = 8,
    ModelNotReady = 9,
    RequestCrashesServers = 10,
    AgentRestarted = 11,
    BackendDown = 12,
}

struct Header {
    1: string name,
    2: string value,
}

// One attempt at one request. The attempt id is unique over all gateways and restarts.
struct Submission {
    1: string requestId,
    2: string attemptId,
    3: string account,
    4: string target,            // model or service name
    5: string adapter,           // empty: none
    6: string method,
    7: string path,
    8: list<Header> headers,
    9: binary body,
    10: bool idempotent,
    11: i64 deadlineMillis,      // remaining, from receipt
    12: i32 priority,            // lower runs first
    13: i64 estimatedTokens,     // prompt and expected answer, for the fair queue
    14: string fingerprint,      // of account and body, for crash counting
    15: i64 configurationVersion,
    16: bool model,              // model request (engine) or plain service call
    17: HybridTime clock,
    18: i64 agentIncarnation,    // that the attempt was meant for
    19: bool runAlone,           // with no other attempt on the backend server
}

// What is known of an attempt from a byte offset on.
struct Progress {
    1: string attemptId,
    2: i64 offset,               // of the first byte of data
    3: binary data,
    4: i64 tokens,               // generated tokens in the answer up to the end of data
    5: bool headersKnown,
    6: i32 status,               // HTTP status of the backend server
    7: list<Header> headers,
    8: bool finished,
    9: i64 totalLength,          // bytes, once finished
    10: RunState runState,
    11: ErrorCode error,
    12: string errorMessage,
    13: i64 retryAfterMillis,
    14: i64 promptTokens,
    15: i64 load,                // queued and running attempts, piggybacked
    16: HybridTime clock,
    17: i64 incarnation,         // of the agent
    18: string incident,         // id of the crash that ended the attempt
}

// A request that was in flight when backend servers crashed.
struct Suspicion {
    1: string fingerprint,
    2: list<string> incidents,   // one id for each crash, the same at every instance
}

struct ModelState {
    1: string name,
    2: string version,
    3: bool ready,
    4: bool adapter,
    5: i64 memoryMb,
    6: i64 load,                 // queued and running attempts for it
}

struct AgentReport {
    1: string instance,
    2: i64 incarnation,
    3: i64 sequence,             // rises with each report of an incarnation
    4: string zone,
    5: string address,           // host:port of the agent's door
    6: string backendKind,       // "engine" or "service"
    7: string serverName,
    8: list<ModelState> models,
    9: i64 queued,
    10: i64 running,
    11: bool draining,
    12: i64 memoryTotalMb,
    13: i64 memoryPledgedMb,
    14: i64 configurationVersion,
    15: i64 capacity,            // attempts the backend server runs at once
    16: i64 planVersion,
    17: list<Suspicion> suspicions,
    18: HybridTime clock,
    30: i64 fencingEpoch,        // of this agent's right to order its engine; 0: asks for one
    40: bool backendDown,        // takes no connections
}

struct ReportReply {
    1: i64 configurationVersion,
    2: string configuration,     // the service list, when newer than the report's version
    3: i64 planVersion,
    4: list<ModelState> wanted,  // models and adapters this server should hold, when plan is newer
    6: HybridTime clock,
    30: i64 fencingEpoch,        // newest of the server that the gateway knows; 0: none
    31: i64 fencingAgeMillis,    // since the table was read for it
    32: bool fencingChecked,     // the engine refuses old fencing numbers
    40: list<string> gateways,   // doors of all gateways that this one knows
}

// What a gateway needs and has of a client account's tokens.
struct AccountDemand {
    1: string account,
    2: i64 weight,               // millionths of the account's rate and burst
    3: i64 demand,               // tokens a second
    4: i64 level,                // tokens
}

// What one gateway tells another; all versions only rise.
struct PeerDigest {
    1: string instance,
    2: i64 incarnation,
    3: i64 stateVersion,         // of keys and configuration as read from the table
    4: bool tableReachable,
    5: i64 tableReadAgeMillis,   // since the start of the last successful read; -1: none yet
    6: i64 memberAgeMillis,      // since the start of the last heartbeat written; -1: no member
    7: list<AgentReport> agents,
    8: list<Suspicion> suspicions,
    9: bool leaving,
    10: HybridTime clock,
    11: i64 inForceVersion,      // the sender acts on all state up to here
    12: list<AccountDemand> demands,
}

struct StateRow {
    1: string key,
    2: string value,
    3: i64 version,
}

struct TimelineEvent {
    1: HybridTime time,
    2: i64 sequence,             // within the instance's incarnation
    3: string instance,
    4: i64 incarnation,
    5: string requestId,
    6: string kind,
    7: string detail,
}

// Every connection proves the fleet's secret before any other call.
service FleetMember {
    binary challenge(),
    bool authenticate(1: binary proof),
    list<TimelineEvent> events(1: string requestId, 2: i32 limit),
}

service Agent extends FleetMember {
    Progress submit(1: Submission submission, 2: i64 waitMillis),
    Progress fetch(1: string attemptId, 2: i64 offset, 3: i64 waitMillis),
    // Says whether the attempt had started; one that had not never will.
    RunState cancel(1: string attemptId),
}

service Gateway extends FleetMember {
    ReportReply report(1: AgentReport report),
    PeerDigest exchange(1: PeerDigest digest),
    list<StateRow> stateRows(1: i64 sinceVersion),
    // The service list that the pointer row of this version names; empty where it isn't known.
    string configurationText(1: i64 version),
    // Takes tokens from this gateway's share of an account; returns how many were granted,
    // to be handed out within a second from the start of the call.
    i64 spendShare(1: string account, 2: i64 tokens),
}
