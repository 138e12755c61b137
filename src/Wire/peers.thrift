// What entry gateways tell each other in datagrams. Each message stands alone: one that is lost
// or late only makes its receiver's knowledge older.
namespace cpp quetzalyoke.wire

// Work of the sender at one backend server.
struct PeerWork {
    1: i32 server,                // hash of its id, to keep datagrams small
    2: i32 running,
    3: i64 prefillTokens,
    4: i64 memoryTokens,
}

// Cumulative since the sender's start.
struct PeerSpent {
    1: string account,
    2: double spent,
    3: double asked,              // refused requests included
}

// Prompt tokens asked of a model since the sender's previous message.
struct PeerDemand {
    1: string model,
    2: i64 tokens,
}

// An adapter that requests wait for, or that one has just used at a server.
struct PeerAdapter {
    1: string server,     // of what is wanted: empty: anywhere; else here, too
    2: string model,
    3: string adapter,    // empty: the model itself
    4: i32 busyMs,        // of one that is used: until the request has run
}

struct PeerNotice {
    1: string server,
    2: i64 incarnation,
    3: i64 orders,
    4: string model,
    5: string adapter,
    6: bool isLoad,
}

// A request or a part of its prompt that was in flight at a crash of a backend server.
struct PeerCrash {
    1: string fingerprint,
    2: string incident,           // empty: a server has survived it
    3: string reporter,           // gateway that saw the crash
}

// Where gateways are many: see SpendingRelay.
enum PeerSpendingKind {
    MEMBER = 0,
    MEMBERS = 1,
    OTHERS = 2,
}

struct PeerSpending {
    1: PeerSpendingKind kind,
    2: list<PeerSpent> accounts,
    3: i32 gateways,              // whose spending is in it
    4: bool isAllFresh,           // spent within the last second, as the sender has just started
}

// What a server has said of itself that the servers' table doesn't show.
struct PeerServerSignal {
    1: string server,
    2: i64 incarnation,
    3: bool leaving,
    4: i32 pauseMs,               // that the server asked the sender for, what is left of it
    5: i64 limitVersion,          // above zero: the server has stated a request limit; see
                                  // StatedRequestLimit
    6: optional double requestsPerSecond, // the limit; absent: it has ended
    7: optional i32 coldMs,       // how much longer the server stays cold, as it stated to the
                                  // sender or as the sender assumes after its start
}

// Asks the lease holder for a permit to send one request to a server with a request limit.
struct PeerPermitRequest {
    1: string server,
    2: i64 incarnation,
    3: i64 number,                // of the sender's requests; repeated by the reply; 0: no permit
                                  // is requested
    4: double requestsPerSecond,  // the limit that the sender knows
    5: i64 limitVersion,
    6: i32 recentRequests,        // sent to the server just before the limit began
    7: optional double coldRequestsPerSecond, // that the server tolerates while it is cold or
                                  // soon after; absent: any number
}

struct PeerPermitReply {
    1: string server,
    2: i64 number,
    3: bool isGranted,
    4: i32 retryAfterMs,          // if it is not granted
}

struct PeerNews {
    1: string instance,
    2: i64 incarnation,
    3: i64 sequence,
    4: bool leaving,
    5: string http,               // IP:PORT of the sender's state and metrics
    6: i64 configRow,             // version of the sender's copy of the operators' table
    7: i64 serversRow,            // version of its copy of the servers' table
    28: optional i64 configDigest,  // of the rows of these copies; see TableVersion
    29: optional i64 serversDigest,
    8: i64 leaseFencing,          // above zero: the sender may order engines
    16: i64 leaseRow,             // version of the lease's row as the sender renewed it last
    27: i64 leaseEra,             // era of the store at that time
    26: i64 configuration,        // the operators' version of the configuration in force
    17: string zone,
    20: double processorShare,    // of a core
    18: bool followsStore,        // the sender reads changes from the store, which answers it
    19: bool isUrgent,            // only wanted, used, demand, notices, crashes and
                                  // departures are filled in
    9: list<PeerWork> work,
    10: list<PeerSpent> spent,
    11: list<PeerDemand> demand,
    12: list<PeerAdapter> wanted,
    13: list<PeerAdapter> used,
    14: list<PeerNotice> notices,
    15: list<PeerCrash> crashes,
    22: list<PeerServerSignal> serverSignals,
    21: optional PeerSpending spending,   // then the message holds nothing else
    23: optional PeerPermitRequest permitRequest, // then the message holds nothing else
    25: optional i64 crashDigest,         // of all that the sender refuses because of crashes
    24: optional PeerPermitReply permitReply,     // then the message holds nothing else
}
