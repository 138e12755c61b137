#include "Serving/Requests/CrashBroadcastQueue.h"

#include "Serving/Requests/RequestMetadata.h"

namespace quetzalyoke {

CrashBroadcastQueue::Entries &CrashBroadcastQueue::entriesFor(const Fingerprint &suspect)
{
    return isPromptPart(suspect) ? m_parts : m_requests;
}

void CrashBroadcastQueue::add(const CrashRecord &record)
{
    entriesFor(record.suspect)[{record.suspect, record.incident}]
        = {{record, false}, m_settings.sendsPerCrash};
}

void CrashBroadcastQueue::addSurvival(const Fingerprint &suspect)
{
    Entries &entries = entriesFor(suspect);
    std::erase_if(entries, [&suspect](const auto &it) { return it.first.first == suspect; });
    entries[{suspect, {}}] = {{{suspect, {}, {}}, true}, m_settings.sendsPerCrash};
}

std::vector<CrashNews> CrashBroadcastQueue::nextBatch()
{
    std::vector<CrashNews> batch;
    takeFrom(m_parts, batch);
    takeFrom(m_requests, batch);
    return batch;
}

std::vector<CrashNews> CrashBroadcastQueue::nextUrgentBatch()
{
    std::vector<CrashNews> batch;
    takeFrom(m_parts, batch);
    return batch;
}

void CrashBroadcastQueue::takeFrom(Entries &entries, std::vector<CrashNews> &batch) const
{
    for (auto it = entries.begin();
         it != entries.end() && batch.size() < m_settings.maxPerDatagram;) {
        batch.push_back(it->second.news);
        it = --it->second.remainingSends == 0 ? entries.erase(it) : std::next(it);
    }
}

std::vector<std::vector<CrashNews>>
CrashBroadcastQueue::splitIntoBatches(const std::vector<CrashRecord> &records) const
{
    std::vector<std::vector<CrashNews>> batches;
    for (const CrashRecord &record : records) {
        if (batches.empty() || batches.back().size() == m_settings.maxPerDatagram)
            batches.emplace_back();
        batches.back().push_back({record, false});
    }
    return batches;
}

} // namespace quetzalyoke
