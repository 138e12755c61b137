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

/// \brief Ensures that the request of each idempotency key runs at most once, across all gateways
/// and restarts.
///
/// A table row is created before the request runs, and its outcome is written afterwards. A write
/// that fails, for example while the table is unavailable, is retried in the background. Until it
/// succeeds, retries of the request are told that the first one is in progress, and after its
/// owner's deadline, that its outcome is unknown.
/// \sa IdempotencyRow
class IdempotencyStore
{
public:
    IdempotencyStore(TableStore &table, AgentRegistry &agentRegistry);
    ~IdempotencyStore();

    /// \brief The right to run one request once.
    struct Claim
    {
        std::string rowKey;
        IdempotencyRow record;
        Version version; ///< Version of the row written by this gateway; 0: not known.
    };

    /// Claims \a request for \a attempt at \a agent. Returns the claim, or the stored response, or
    /// the reason why the request must not run.
    std::variant<Claim, StoredResponse, Refusal> claim(const ParsedRequest &request,
                                                       const AttemptId &attempt,
                                                       const std::optional<ChosenAgent> &agent);

    /// Writes the outcome of \a claim: the request completed with \a response.
    void recordCompleted(const Claim &claim, const StoredResponse &response);
    /// Writes the outcome of \a claim: the request was refused in run state \a state. If it did not
    /// run, the claim is released and the request may be sent again.
    void recordRefused(const Claim &claim, RunState state);

    void stop();

private:
    /// \brief A write of a claim's outcome; a missing value deletes the row.
    struct OutcomeWrite
    {
        Claim claim;
        std::optional<std::string> value;
    };

    std::variant<Claim, StoredResponse, Refusal>
    resolveRepeat(const ParsedRequest &request, const Claim &ownClaim, const TableRow &row);
    std::optional<StoredResponse> recoverResponse(const IdempotencyRow &record,
                                                  const TableRow &row);
    void writeOutcome(const OutcomeWrite &outcome);
    bool tryWriteOutcome(const OutcomeWrite &outcome);
    void maintenanceLoop();
    void sweepExpired();

    TableStore &m_table;
    AgentRegistry &m_agentRegistry;
    std::mutex m_mutex; // protects the members below
    std::condition_variable m_wake;
    std::deque<OutcomeWrite> m_pending;
    bool m_stopping = false;
    unsigned m_sweepShard = 0;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
