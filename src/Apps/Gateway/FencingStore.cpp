#include "Apps/Gateway/FencingStore.h"

#include "Adapters/Process.h"
#include "Core/Error.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A concurrent agent of the same server and a lost response each use up one attempt.
constexpr int maxAttempts = 4;

} // namespace

FencingStore::FencingStore(TableStore &table) : m_table(table) { }

// If the response to a write is lost, the next attempt reads the row: it names this agent if the
// write took effect.
FencingStore::KnownEpoch FencingStore::acquireEpoch(const ServerName &server,
                                                    const InstanceId &agent,
                                                    Incarnation incarnation)
{
    const std::string key = FencingRow::rowKey(server);
    for (int i = 0; i < maxAttempts; ++i) {
        const Instant readAt = Process::now();
        const auto row = m_table.read(key);
        const FencingRow known = row ? FencingRow::fromJson(row->value) : FencingRow();
        if (row && known.isHeldBy(agent, incarnation)) {
            recordEpoch(key, known.epoch);
            return {known.epoch, readAt};
        }
        const FencingRow next{known.epoch + 1, agent, incarnation};
        const Version expected = row ? row->version : Version(0);
        try {
            m_table.commit({{key, next.toJson(), expected}});
        } catch (const Error &e) {
            if (e.kind() != ErrorKind::OutcomeUnknown)
                throw;
        }
    }
    throw Error(ErrorKind::Conflict,
                "several agents request the fencing epoch of server " + server.text()
                    + " at once; run one agent beside each backend server");
}

std::optional<FencingStore::KnownEpoch> FencingStore::newestEpoch(const ServerName &server) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_epochs.find(FencingRow::rowKey(server));
    if (it == m_epochs.end() || !m_readAt)
        return std::nullopt;
    return KnownEpoch{it->second, *m_readAt};
}

void FencingStore::refresh()
{
    const Instant readAt = Process::now();
    for (const TableRow &it : m_table.scan(FencingRow::rowKeyPrefix, m_readVersion)) {
        m_readVersion = std::max(m_readVersion, it.version);
        recordEpoch(it.key, FencingRow::fromJson(it.value).epoch);
    }
    const std::lock_guard lock(m_mutex);
    m_readAt = readAt;
}

void FencingStore::recordEpoch(const std::string &key, std::int64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    std::int64_t &known = m_epochs[key];
    known = std::max(known, epoch);
}

} // namespace quetzalyoke
