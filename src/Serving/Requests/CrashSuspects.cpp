#include "Serving/Requests/CrashSuspects.h"

#include "Serving/Requests/RequestMetadata.h"

#include <xxhash.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

// Each record adds evidence up to this number; more would only take memory.
constexpr std::size_t maxRecordsPerSuspect = 12;

// Between announcements that requests with a suspect still come; far below the retention.
constexpr Duration announceInterval = std::chrono::minutes(1);

} // namespace

bool CrashSuspects::add(const CrashRecord &record, Instant now)
{
    Entry &entry = m_entries[record.suspect];
    entry.lastRequestAt = std::max(entry.lastRequestAt, now);
    if (entry.incidents.size() >= maxRecordsPerSuspect
        || !entry.incidents.emplace(record.incident, record.reporter).second)
        return false;
    entry.lastRecordAt = now;
    ++m_revision;
    const bool mayChangeRefusals = entry.incidents.size() >= m_limits.refuseAfter;
    if (m_entries.size() > m_limits.maxSuspects)
        removeWeakest();
    if (mayChangeRefusals)
        updateRefused();
    return true;
}

bool CrashSuspects::remove(const Fingerprint &suspect)
{
    if (m_entries.erase(suspect) == 0)
        return false;
    ++m_revision;
    updateRefused();
    return true;
}

bool CrashSuspects::isRefused(const Fingerprint &suspect) const
{
    const auto it = m_entries.find(suspect);
    return it != m_entries.end() && it->second.isRefused;
}

std::optional<Fingerprint>
CrashSuspects::firstRefused(const std::vector<Fingerprint> &suspects) const
{
    if (m_digest == 0)
        return {};
    for (const Fingerprint &suspect : suspects) {
        if (isRefused(suspect))
            return suspect;
    }
    return {};
}

bool CrashSuspects::mayTry(const std::vector<Fingerprint> &suspects, Instant now) const
{
    const auto isInRequest = [&suspects](const Fingerprint &suspect) {
        return std::find(suspects.begin(), suspects.end(), suspect) != suspects.end();
    };
    for (const Fingerprint &suspect : suspects) {
        const auto it = m_entries.find(suspect);
        if (it == m_entries.end() || !it->second.isRefused)
            continue;
        const Entry &entry = it->second;
        if (entry.incidents.size() > m_limits.lastTrialAfter)
            return false;
        std::size_t alike = 0;
        std::size_t alikeInRequest = 0;
        for (const auto &[other, otherEntry] : m_entries) {
            if (otherEntry.incidents != entry.incidents)
                continue;
            ++alike;
            alikeInRequest += isInRequest(other) ? 1 : 0;
        }
        const bool isAmbiguous = alike > 1 && alikeInRequest == alike;
        const Duration delay = m_limits.trialDelay
            * (1 << (entry.incidents.size() - m_limits.refuseAfter))
            * (isAmbiguous ? m_limits.ambiguousTrialFactor : 1);
        if (now - entry.lastRecordAt < delay)
            return false;
    }
    return true;
}

bool CrashSuspects::recordRequest(const Fingerprint &suspect, Instant now)
{
    const auto it = m_entries.find(suspect);
    if (it == m_entries.end())
        return false;
    it->second.lastRequestAt = now;
    if (now - it->second.announcedAt < announceInterval)
        return false;
    it->second.announcedAt = now;
    return true;
}

std::vector<CrashRecord> CrashSuspects::recordsOf(const Fingerprint &suspect) const
{
    std::vector<CrashRecord> records;
    const auto it = m_entries.find(suspect);
    if (it == m_entries.end())
        return records;
    for (const auto &[incident, reporter] : it->second.incidents)
        records.push_back({suspect, incident, reporter});
    return records;
}

std::vector<CrashRecord> CrashSuspects::refusedRecords() const
{
    std::vector<CrashRecord> records;
    for (const auto &[suspect, entry] : m_entries) {
        if (!entry.isRefused)
            continue;
        for (const auto &[incident, reporter] : entry.incidents)
            records.push_back({suspect, incident, reporter});
    }
    return records;
}

std::vector<CrashRecord> CrashSuspects::records() const
{
    std::vector<const std::pair<const Fingerprint, Entry> *> entries;
    for (const auto &it : m_entries)
        entries.push_back(&it);
    std::sort(entries.begin(), entries.end(), [](const auto *a, const auto *b) {
        return std::pair(a->second.isRefused, a->second.lastRecordAt)
            > std::pair(b->second.isRefused, b->second.lastRecordAt);
    });
    std::vector<CrashRecord> records;
    for (const auto *it : entries) {
        for (const auto &[incident, reporter] : it->second.incidents)
            records.push_back({it->first, incident, reporter});
    }
    return records;
}

void CrashSuspects::removeExpired(Instant now)
{
    const auto removed = std::erase_if(m_entries, [&](const auto &it) {
        return now - it.second.lastRequestAt >= m_limits.retention;
    });
    if (removed == 0)
        return;
    ++m_revision;
    updateRefused();
}

void CrashSuspects::updateRefused()
{
    m_digest = 0;
    for (auto &[suspect, entry] : m_entries) {
        entry.isRefused = entry.incidents.size() >= m_limits.refuseAfter
            && !isExplainedByAnother(suspect, entry);
        if (entry.isRefused)
            m_digest ^= digestOf(suspect, entry);
    }
}

// The records of a suspect that is tried no more need not be the same everywhere.
std::uint64_t CrashSuspects::digestOf(const Fingerprint &suspect, const Entry &entry) const
{
    const std::uint64_t seed = XXH64(suspect.text().data(), suspect.text().size(), 0);
    if (entry.incidents.size() > m_limits.lastTrialAfter)
        return seed;
    std::uint64_t digest = 0;
    for (const auto &[incident, reporter] : entry.incidents)
        digest ^= XXH64(incident.data(), incident.size(), seed);
    return digest;
}

// Returns whether another suspect was in all crashes of \a entry and in more.
bool CrashSuspects::isExplainedByAnother(const Fingerprint &suspect, const Entry &entry) const
{
    // Whole requests hardly recur, so a third crash is not by chance, whatever ran beside it.
    if (!isPromptPart(suspect) && entry.incidents.size() > m_limits.maxExplainedOfRequest)
        return false;
    return std::any_of(m_entries.begin(), m_entries.end(), [&entry](const auto &other) {
        const Incidents &incidents = other.second.incidents;
        return incidents.size() > entry.incidents.size()
            && std::all_of(entry.incidents.begin(), entry.incidents.end(),
                           [&incidents](const auto &it) { return incidents.count(it.first) > 0; });
    });
}

void CrashSuspects::removeWeakest()
{
    const auto weakest
        = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
              return std::pair(a.second.incidents.size(), a.second.lastRecordAt)
                  < std::pair(b.second.incidents.size(), b.second.lastRecordAt);
          });
    m_entries.erase(weakest);
}

} // namespace quetzalyoke
