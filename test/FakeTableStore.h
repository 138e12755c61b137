#ifndef QUETZALYOKE_TEST_FAKETABLESTORE_H
#define QUETZALYOKE_TEST_FAKETABLESTORE_H

#include "VirtualLoop.h"
#include "platform/StoreVersion.h"
#include "platform/TableFollower.h"

#include <memory>
#include <vector>

namespace quetzalyoke {

/// \brief One table of the platform's store on a virtual clock, with versions that other tables
/// raise, feeds, a bounded history and restores from a copy.
class FakeTableStore
{
public:
    using Rows = std::map<std::string, Version>; ///< Versions of the rows by their keys.

    explicit FakeTableStore(VirtualLoop &loop) : m_loop(loop) { remember(); }

    void put(const std::string &key)
    {
        ++m_version;
        m_rows[key] = m_version;
        recordChange(key, false);
    }
    void remove(const std::string &key)
    {
        if (m_rows.erase(key) == 0)
            return;
        ++m_version;
        recordChange(key, true);
    }
    /// Changes a row of another table.
    void touchOtherTable()
    {
        ++m_version;
        remember();
    }
    void dropHistory() { m_history.clear(), m_historyStart = m_version; }
    void saveCopy() { m_copy = {m_rows, m_history, m_version}; }
    /// Replaces everything by the saved copy. Versions go on from there.
    void restore()
    {
        m_rows = m_copy.rows;
        m_history = m_copy.history;
        m_version = m_copy.version;
        m_historyStart = std::min(m_historyStart, m_version);
        ++m_era;
        remember();
        m_changedAt[m_loop.now()] = version();
        for (const auto &waiting : std::exchange(m_waiting, {}))
            waiting->done(platform::StoreReadResult());
    }

    Rows rows() const { return m_contents.at(version()); }
    Version version() const { return platform::makeVersion(StoreEra(m_era), m_version); }
    /// Returns the version of the last change of the table before \a time.
    Version lastChangeBefore(Instant time) const
    {
        const auto it = m_changedAt.lower_bound(time);
        return it == m_changedAt.begin() ? Version() : std::prev(it)->second;
    }
    /// Returns the rows at \a version; nothing if the store never had it.
    const Rows *rowsAt(Version version) const
    {
        const auto it = m_contents.find(version);
        return it == m_contents.end() ? nullptr : &it->second;
    }

    /// Returns the rows from key \a from on, at most \a partSize.
    platform::StoreReadResult read(const std::string &from, std::size_t partSize) const
    {
        platform::StoreReadResult result = emptyResult();
        for (auto it = m_rows.lower_bound(from); it != m_rows.end(); ++it) {
            if (result.rows.size() == partSize) {
                result.isTruncated = true;
                break;
            }
            result.rows.push_back(rowOf(it->first, it->second, false));
        }
        return result;
    }

    using FeedHook = std::function<void(const platform::StoreReadResult &)>;
    /// Passes the changes after \a since as soon as there is one, at the latest after \a wait.
    void poll(Version since, Duration wait, FeedHook done)
    {
        const std::int64_t after = platform::storedVersion(since);
        if (after < m_historyStart || after > m_version) {
            platform::StoreReadResult result = emptyResult();
            result.status = platform::StoreReadResult::Status::HistoryGone;
            done(result);
            return;
        }
        const auto waiting = std::make_shared<Waiting>(Waiting{after, std::move(done)});
        m_waiting.push_back(waiting);
        completeWaiting();
        m_loop.after(wait, [this, waiting] {
            if (std::erase(m_waiting, waiting) > 0)
                waiting->done(emptyResult());
        });
    }

private:
    struct Change
    {
        std::string key;
        std::int64_t version = 0;
        bool isDeletion = false;
    };
    struct Copy
    {
        std::map<std::string, std::int64_t> rows;
        std::vector<Change> history;
        std::int64_t version = 0;
    };
    struct Waiting
    {
        std::int64_t after = 0;
        FeedHook done;
    };

    void remember()
    {
        Rows rows;
        for (const auto &[key, version] : m_rows)
            rows[key] = platform::makeVersion(StoreEra(m_era), version);
        m_contents[version()] = rows;
    }
    void recordChange(const std::string &key, bool isDeletion)
    {
        m_history.push_back({key, m_version, isDeletion});
        remember();
        m_changedAt[m_loop.now()] = version();
        completeWaiting();
    }
    platform::StoreReadResult emptyResult() const
    {
        platform::StoreReadResult result;
        result.status = platform::StoreReadResult::Status::Ok;
        result.version = version();
        return result;
    }
    StoreRow rowOf(const std::string &key, std::int64_t version, bool isDeleted) const
    {
        return {key, "x", platform::makeVersion(StoreEra(m_era), version), isDeleted};
    }
    void completeWaiting()
    {
        for (const auto &waiting : std::vector(m_waiting)) {
            platform::StoreReadResult result = emptyResult();
            for (const Change &change : m_history) {
                if (change.version > waiting->after)
                    result.rows.push_back(rowOf(change.key, change.version, change.isDeletion));
            }
            if (result.rows.empty())
                continue;
            std::erase(m_waiting, waiting);
            waiting->done(result);
        }
    }

    VirtualLoop &m_loop;
    std::map<std::string, std::int64_t> m_rows;
    std::vector<Change> m_history;
    std::int64_t m_version = 1;
    std::int64_t m_historyStart = 0;
    int m_era = 1;
    Copy m_copy;
    std::map<Version, Rows> m_contents; // of every version
    std::map<Instant, Version> m_changedAt; // the last change of the table at each time
    std::vector<std::shared_ptr<Waiting>> m_waiting;
};

} // namespace quetzalyoke

#endif
