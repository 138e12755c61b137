#include "Serving/Requests/StreamVersions.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace quetzalyoke {

StreamKey streamKey(const AccountId &account, const RequestId &attempt)
{
    const std::string text
        = std::to_string(account.text().size()) + ':' + account.text() + attempt.text();
    const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(hash));
    return StreamKey(buf.data());
}

void StreamVersions::record(const StreamKey &key, const ServiceName &service,
                            const SoftwareVersion &version, Instant now)
{
    if (!m_entries.try_emplace(key, Entry{service, version, false}).second)
        return;
    m_order.emplace_back(now, key);
    if (m_entries.size() > m_settings.maxStreams)
        removeOldest();
}

std::optional<SoftwareVersion> StreamVersions::find(const StreamKey &key) const
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return {};
    return it->second.version;
}

StreamVersionWrite
StreamVersions::nextWrite(const std::function<bool(const ServiceName &)> &mustStore)
{
    StreamVersionWrite write;
    for (auto it = m_order.rbegin();
         it != m_order.rend() && write.added.size() < m_settings.maxPerWrite; ++it) {
        const Entry &entry = m_entries.at(it->second);
        if (!entry.isStored && mustStore(entry.service))
            write.added.emplace_back(it->second, entry.version);
    }
    while (!m_removed.empty() && write.removed.size() < m_settings.maxPerWrite) {
        write.removed.push_back(m_removed.front());
        m_removed.pop_front();
    }
    return write;
}

void StreamVersions::finishWrite(const StreamVersionWrite &write, bool ok)
{
    if (!ok) {
        m_removed.insert(m_removed.end(), write.removed.begin(), write.removed.end());
        return;
    }
    for (const auto &[key, version] : write.added) {
        const auto it = m_entries.find(key);
        if (it != m_entries.end())
            it->second.isStored = true;
        else
            m_removed.push_back(key); // expired meanwhile
    }
}

void StreamVersions::onStoreRestored()
{
    for (auto &[key, entry] : m_entries)
        entry.isStored = false;
}

void StreamVersions::removeExpired(Instant now)
{
    while (!m_order.empty() && now - m_order.front().first >= m_settings.retention)
        removeOldest();
}

void StreamVersions::removeOldest()
{
    const auto it = m_entries.find(m_order.front().second);
    if (it->second.isStored)
        m_removed.push_back(it->first);
    m_entries.erase(it);
    m_order.pop_front();
}

} // namespace quetzalyoke
