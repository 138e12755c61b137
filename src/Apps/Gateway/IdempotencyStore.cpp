#include "Apps/Gateway/IdempotencyStore.h"

#include "Adapters/Crypto.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

#include <glog/logging.h>

#include <array>

namespace quetzalyoke {

namespace {

constexpr const char *rowPrefix = "idempotency/";
constexpr std::chrono::hours retention{24};
// An owner may still write its outcome this long after its deadline; the clocks of gateways may
// differ by as much.
constexpr std::chrono::seconds ownerClockMargin{10};
constexpr std::chrono::milliseconds retryAfterInProgress{1000};
constexpr std::chrono::milliseconds retryAfterTableUnavailable{2000};
constexpr std::chrono::seconds outcomeRetryInterval{1};
constexpr std::chrono::minutes outcomeRetryTimeout{30};
constexpr std::size_t maxPendingWrites = 10'000;
constexpr std::size_t maxStoredBodyBytes = 262'144;
constexpr std::int64_t fetchWaitMillis = 100;
constexpr unsigned sweepShards = 256; // one for each value of the first byte of the row's hash
constexpr int roundsPerSweep = 30;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int statusUnprocessable = 422;

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::string rowKeyFor(const ParsedRequest &request)
{
    return rowPrefix
        + sha256Hex(request.account.text() + '\n' + request.target + '\n' + request.idempotencyKey);
}

Refusal tableUnavailable()
{
    return {statusUnavailable, "table_unavailable",
            "the request can't be protected against running twice now; retry", RunState::NotRun,
            retryAfterTableUnavailable};
}

Refusal refusalFor(RepeatDecision decision)
{
    switch (decision) {
    case RepeatDecision::InProgress:
        return {statusConflict, "in_progress",
                "a request with this Idempotency-Key is in progress; retry", RunState::Unknown,
                retryAfterInProgress};
    case RepeatDecision::KeyReused:
        return {statusUnprocessable,
                "idempotency_key_reused",
                "this Idempotency-Key was used with a different request before; use a new one",
                RunState::NotRun,
                {}};
    default:
        return {statusConflict,
                "outcome_unknown",
                "the first request with this Idempotency-Key may have run; it will not run again; "
                "check its effect",
                RunState::Unknown,
                {}};
    }
}

} // namespace

IdempotencyStore::IdempotencyStore(TableStore &table, AgentRegistry &agentRegistry)
    : m_table(table), m_agentRegistry(agentRegistry)
{
    m_thread = std::thread([this] { maintenanceLoop(); });
}

IdempotencyStore::~IdempotencyStore()
{
    stop();
}

void IdempotencyStore::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

std::variant<IdempotencyStore::Claim, StoredResponse, Refusal>
IdempotencyStore::claim(const ParsedRequest &request, const AttemptId &attempt,
                        const std::optional<ChosenAgent> &agent)
{
    Claim claim;
    claim.rowKey = rowKeyFor(request);
    claim.record.attempt = attempt;
    claim.record.fingerprint = request.fingerprint;
    if (agent) {
        claim.record.agentAddress = agent->pool->address().text();
        claim.record.agentIncarnation = agent->incarnation;
    }
    const auto left
        = std::chrono::ceil<std::chrono::milliseconds>(request.deadline - Process::now());
    claim.record.ownerDeadline = wallNow() + left + ownerClockMargin;
    claim.record.expiresAt = wallNow() + retention;
    try {
        const auto version = m_table.commit({{claim.rowKey, claim.record.toJson(), Version(0)}});
        if (version) {
            claim.version = *version;
            return claim;
        }
    } catch (const Error &e) {
        if (e.kind() != ErrorKind::OutcomeUnknown)
            return tableUnavailable();
        Metrics::incrementCounter("table_answers_lost_total");
    }
    // Either the row existed before, or the response was lost and the row may be this claim's.
    try {
        const auto row = m_table.read(claim.rowKey);
        if (!row) {
            writeOutcome({claim, std::nullopt});
            return tableUnavailable();
        }
        return resolveRepeat(request, claim, *row);
    } catch (const Error &) {
        // The row may exist although nothing has run; it is deleted once the table is available.
        writeOutcome({claim, std::nullopt});
        return tableUnavailable();
    }
}

std::variant<IdempotencyStore::Claim, StoredResponse, Refusal>
IdempotencyStore::resolveRepeat(const ParsedRequest &request, const Claim &ownClaim,
                                const TableRow &row)
{
    const IdempotencyRow record = IdempotencyRow::fromJson(row.value);
    const auto decision
        = decideRepeat(record, request.fingerprint, ownClaim.record.attempt, wallNow());
    if (decision == RepeatDecision::OwnRow) {
        Claim claim = ownClaim;
        claim.version = row.version;
        return claim;
    }
    if (decision == RepeatDecision::Replay) {
        if (!record.response.bodyDropped)
            return record.response;
        return Refusal{statusConflict,
                       "already_completed",
                       "the first request completed; its response was too large to store",
                       RunState::Partial,
                       {}};
    }
    if (decision == RepeatDecision::InProgress || decision == RepeatDecision::OutcomeUnknown) {
        const auto recovered = recoverResponse(record, row);
        if (recovered)
            return *recovered;
    }
    return refusalFor(decision);
}

// The gateway that ran the request may have crashed; its agent keeps the complete response for a
// while.
std::optional<StoredResponse> IdempotencyStore::recoverResponse(const IdempotencyRow &record,
                                                                const TableRow &row)
{
    if (record.state != IdempotencyRow::State::Running || record.agentAddress.empty())
        return std::nullopt;
    wire::Progress progress;
    try {
        const auto pool = m_agentRegistry.poolFor(record.agentAddress);
        pool->call([&](wire::AgentClient &it) {
            it.fetch(progress, record.attempt.text(), 0, fetchWaitMillis);
        });
    } catch (const std::exception &) {
        return std::nullopt;
    }
    const auto n = static_cast<std::int64_t>(progress.data.size());
    const bool isComplete = progress.finished && progress.error == wire::ErrorCode::None
        && progress.headersKnown && progress.totalLength == n;
    if (!isComplete)
        return std::nullopt;
    StoredResponse response;
    response.status = progress.status;
    response.body = progress.data;
    for (const wire::Header &it : progress.headers)
        response.headers.emplace_back(it.name, it.value);
    Metrics::incrementCounter("answers_recovered_total");
    recordCompleted({row.key, record, row.version}, response);
    return response;
}

void IdempotencyStore::recordCompleted(const Claim &claim, const StoredResponse &response)
{
    IdempotencyRow record = claim.record;
    record.state = IdempotencyRow::State::Done;
    record.response = response;
    if (record.response.body.size() > maxStoredBodyBytes) {
        record.response.body.clear();
        record.response.bodyDropped = true;
    }
    writeOutcome({claim, record.toJson()});
}

void IdempotencyStore::recordRefused(const Claim &claim, RunState state)
{
    if (state == RunState::NotRun)
        return writeOutcome({claim, std::nullopt});
    IdempotencyRow record = claim.record;
    record.state = IdempotencyRow::State::Unknown;
    writeOutcome({claim, record.toJson()});
}

void IdempotencyStore::writeOutcome(const OutcomeWrite &outcome)
{
    if (tryWriteOutcome(outcome))
        return;
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() >= maxPendingWrites) {
        Metrics::incrementCounter("settlements_dropped_total");
        return;
    }
    m_pending.push_back(outcome);
}

// Returns true once nothing is left to do: the write took effect, or the row no longer belongs to
// this claim.
bool IdempotencyStore::tryWriteOutcome(const OutcomeWrite &outcome)
{
    try {
        Version version = outcome.claim.version;
        if (version == Version()) {
            const auto row = m_table.read(outcome.claim.rowKey);
            if (!row)
                return false; // the claim's own write may still arrive
            if (IdempotencyRow::fromJson(row->value).attempt != outcome.claim.record.attempt)
                return true;
            version = row->version;
        }
        m_table.commit({{outcome.claim.rowKey, outcome.value, version}});
        return true;
    } catch (const std::exception &) {
        // The write may be retried: its condition fails if it has already taken effect.
        Metrics::incrementCounter("settlements_failed_total");
        return false;
    }
}

void IdempotencyStore::maintenanceLoop()
{
    int rounds = 0;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_for(lock, outcomeRetryInterval, [this] { return m_stopping; });
        std::deque<OutcomeWrite> pending;
        pending.swap(m_pending);
        lock.unlock();
        for (const OutcomeWrite &it : pending) {
            const bool expired = it.claim.record.ownerDeadline + outcomeRetryTimeout < wallNow();
            if (!expired && !tryWriteOutcome(it)) {
                const std::lock_guard pendingLock(m_mutex);
                m_pending.push_back(it);
            }
        }
        if (++rounds % roundsPerSweep == 0)
            sweepExpired();
        lock.lock();
    }
}

// Deletes expired rows, one shard of the key space at a time so that a scan stays small.
void IdempotencyStore::sweepExpired()
{
    std::array<char, 3> shard{};
    std::snprintf(shard.data(), shard.size(), "%02x", m_sweepShard % sweepShards);
    ++m_sweepShard;
    try {
        for (const TableRow &it : m_table.scan(std::string(rowPrefix) + shard.data(), Version())) {
            if (IdempotencyRow::fromJson(it.value).expiresAt < wallNow())
                m_table.commit({{it.key, std::nullopt, it.version}});
        }
    } catch (const std::exception &) {
        Metrics::incrementCounter("sweeps_failed_total");
    }
}

} // namespace quetzalyoke
