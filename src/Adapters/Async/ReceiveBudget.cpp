#include "Adapters/Async/ReceiveBudget.h"

#include <algorithm>
#include <malloc.h>

namespace quetzalyoke {

namespace {

constexpr double bytesPerMb = 1'048'576;

// Shares of the machine's memory. The other half is for the process itself, the copy that a growing
// body needs for a moment, tables, logs and what the system keeps of connections.
constexpr double connectionShare = 0.25;
constexpr double requestShare = 0.25;

// One request of the largest size that operators usually allow, 4 MB, must fit in any case.
constexpr std::size_t minLimitBytes = 6'291'456;

// A connection has made progress once it has moved this much, so that single bytes sent now and
// then don't count.
constexpr std::size_t progressBytes = 1024;

// A connection that has just made progress still counts with what it holds.
constexpr Duration minIdleTime = std::chrono::milliseconds(1);

// Requests over this size get only this share of the memory for requests; the rest is left to small
// ones, so that a few large requests don't keep out all others.
constexpr std::size_t smallRequestBytes = 65'536;
constexpr std::size_t largeRequestShareInverse = 4;

std::size_t shareOf(double memoryMb, double share)
{
    return std::max(minLimitBytes, static_cast<std::size_t>(memoryMb * bytesPerMb * share));
}

} // namespace

ReceiveBudget::ReceiveBudget(const Limits &limits)
    : m_connectionLimit(limits.connectionBytes),
      m_requests(std::make_shared<ResourceCharge::Total>())
{
    m_requests->limit = limits.requestBytes;
}

ReceiveBudget::Limits ReceiveBudget::limitsFor(double memoryMb)
{
    return {shareOf(memoryMb, connectionShare), shareOf(memoryMb, requestShare)};
}

void ReceiveBudget::record(Holder *holder, std::size_t bytes, std::size_t movedBytes, Instant now)
{
    if (bytes == 0) {
        remove(holder);
        return;
    }
    const auto [it, isNew] = m_entries.try_emplace(holder);
    Entry &entry = it->second;
    m_connectionBytes += bytes - entry.bytes;
    entry.bytes = bytes;
    entry.movedBytes += movedBytes;
    if (isNew || entry.movedBytes >= progressBytes) {
        entry.movedBytes = 0;
        entry.progressAt = now;
    }
}

void ReceiveBudget::remove(Holder *holder)
{
    const auto it = m_entries.find(holder);
    if (it == m_entries.end())
        return;
    m_connectionBytes -= it->second.bytes;
    m_entries.erase(it);
}

bool ReceiveBudget::beginEviction()
{
    if (m_connectionBytes <= m_connectionLimit || m_isEvictionPending)
        return false;
    m_isEvictionPending = true;
    return true;
}

void ReceiveBudget::evictExcess(Instant now)
{
    m_isEvictionPending = false;
    while (m_connectionBytes > m_connectionLimit) {
        Holder *holder = worstHolder(now);
        // What an evicted connection still holds, such as its last response, counts again with its
        // next record().
        remove(holder);
        holder->evict();
    }
}

ReceiveBudget::Holder *ReceiveBudget::worstHolder(Instant now) const
{
    Holder *worst = nullptr;
    double highest = -1;
    for (const auto &[holder, entry] : m_entries) {
        const Duration idle = std::max(minIdleTime, now - entry.progressAt);
        const double weight = static_cast<double>(idle.count()) * static_cast<double>(entry.bytes);
        if (weight <= highest)
            continue;
        highest = weight;
        worst = holder;
    }
    return worst;
}

bool ReceiveBudget::mayTakeOn(std::size_t bytes) const
{
    // A single request is served however large it may be.
    if (m_requests->amount == 0)
        return true;
    const std::size_t limit = bytes <= smallRequestBytes
        ? m_requests->limit
        : m_requests->limit - m_requests->limit / largeRequestShareInverse;
    return m_requests->amount + bytes <= limit;
}

void limitMemoryRetention()
{
    mallopt(M_MMAP_THRESHOLD, ReceiveBudget::largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, ReceiveBudget::largeBlockBytes);
}

} // namespace quetzalyoke
