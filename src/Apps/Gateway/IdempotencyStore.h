#ifndef QUETZALYOKE_APPS_GATEWAY_IDEMPOTENCYSTORE_H
#define QUETZALYOKE_APPS_GATEWAY_IDEMPOTENCYSTORE_H

#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/ParsedRequest.h"
#include "Core/Requests/IdempotencyRow.h"
#include "Core/Requests/Refusal.h"
#include "Ports/TableStore.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace quetzalyoke {

/// \brief Runs each idempotency key at most once, over all gateways and restarts.
///
/// A row of the table is created before the request runs, and settled after it. Settling that
/// fails, for example while the table is out, is repeated in the background; until then repeats
/// are told that the first one is in progress, and once its owner's time is over, that nobody
/// knows whether it ran.
/// \sa IdempotencyRow
class IdempotencyStore
{
public:
    IdempotencyStore(TableStore &table, AgentRegistry &fleet);
    ~IdempotencyStore();

    /// \brief The right to run one request, once.
    struct Claim
    {
        std::string rowKey;
        IdempotencyRow record;
        Version version; ///< Of the row as this gateway wrote it.
    };

    /// Claims \a call for \a attempt, or gives the kept answer or the reason not to run it.
    std::variant<Claim, StoredResponse, Refusal> claim(const ParsedRequest &call,
                                                       const AttemptId &attempt,
                                                       const std::optional<ChosenAgent> &agent);

    /// Settles a claim: the request completed with \a response.
    void recordCompleted(const Claim &claim, const StoredResponse &response);
    /// Settles a claim: the request was refused. One that did not run may be sent again.
    void recordRefused(const Claim &claim, RunState state);

    void stop();

private:
    /// One write that settles a claim; no value deletes the row.
    struct OutcomeWrite
    {
        Claim claim;
        std::optional<std::string> value;
    };

    std::variant<Claim, StoredResponse, Refusal>
    resolveRepeat(const ParsedRequest &call, const Claim &own, const TableRow &row);
    std::optional<StoredResponse> recoverResponse(const IdempotencyRow &record,
                                                  const TableRow &row);
    void writeOutcome(const OutcomeWrite &settlement);
    bool tryWriteOutcome(const OutcomeWrite &settlement);
    void maintenanceLoop();
    void sweepExpired();

    TableStore &m_table;
    AgentRegistry &m_agentRegistry;
    std::mutex m_mutex; // of the members below
    std::condition_variable m_wake;
    std::deque<OutcomeWrite> m_pending;
    bool m_stopping = false;
    unsigned m_sweepShard = 0;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
