#include "Serving/Placement/PlacementLease.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// After a call that failed.
constexpr Duration retryPause = std::chrono::milliseconds(300);

// Gateways that look at the row when the holder has been quiet; the others rely on them.
constexpr std::size_t watchers = 3;

// Between two looks of a watcher, however rare news are.
constexpr Duration longestQuiet = std::chrono::seconds(2);

// A vacant lease is left to a gateway for this long, a write and the news of it.
constexpr Duration delayPerRank = std::chrono::milliseconds(400);

// News that are this many intervals old have not just been late or lost once.
constexpr double watchedIntervals = 1.5;
constexpr double lostIntervals = 2.5;

} // namespace

PlacementLease::PlacementLease(const Limits &limits, InstanceId self, Incarnation incarnation)
    : m_limits(limits), m_self(std::move(self)), m_incarnation(incarnation)
{ }

bool PlacementLease::isOurs() const
{
    return m_known && m_row.version.count() != 0 && m_row.holder == m_self
        && m_row.incarnation == m_incarnation;
}

bool PlacementLease::mayTakeOver(Instant now) const
{
    // An earlier life of this instance ended before this one began, and engines tell holders apart
    // by instance.
    if (m_row.holder == m_self && m_row.version.count() != 0)
        return true;
    if (m_row.version.count() == 0)
        return m_firstReadAt && now - *m_firstReadAt >= m_limits.reluctance;
    return now - m_seenAt >= vacantAfter();
}

void PlacementLease::setWatch(std::size_t rank, Duration newsInterval)
{
    m_rank = rank;
    m_newsInterval = newsInterval;
}

Duration PlacementLease::vacantAfter() const
{
    const Duration vacant
        = m_limits.validity + m_limits.holderPause + m_limits.margin + m_limits.reluctance;
    const Duration byRank = delayPerRank * static_cast<int>(std::min(m_rank, watchers));
    if (m_rank < watchers)
        return vacant + byRank;
    // A watcher may have seen the row's last version later, and tells with its next news.
    return vacant + longestQuiet + byRank + scaled(m_newsInterval, lostIntervals);
}

// Only watchers look at a row that may still be in force.
Duration PlacementLease::quiet() const
{
    if (m_rank >= watchers)
        return vacantAfter();
    return std::max(m_limits.quiet,
                    std::min(scaled(m_newsInterval, watchedIntervals), longestQuiet));
}

PlacementLease::Action PlacementLease::next(Instant now)
{
    if (m_waiting || m_resigned)
        return Action::None;
    if (isOurs()) {
        if (now - m_triedAt < m_limits.renewal)
            return Action::None;
        m_waiting = true;
        m_triedAt = now;
        return Action::Write;
    }
    if (m_known && now - m_newsAt < quiet())
        return Action::None;
    if (now - m_triedAt < retryPause)
        return Action::None;
    // A row that has not been read lately may have been renewed since.
    const bool takesOver = m_known && mayTakeOver(now);
    if (m_known && !takesOver && now - m_triedAt < quiet())
        return Action::None;
    m_waiting = true;
    m_triedAt = now;
    return takesOver ? Action::Write : Action::Read;
}

LeaseRow PlacementLease::proposal() const
{
    LeaseRow row;
    row.holder = m_self;
    row.incarnation = m_incarnation;
    row.fencing = isOurs() ? m_row.fencing : m_row.fencing + FencingNumber(1);
    row.version = m_row.version;
    return row;
}

void PlacementLease::onRead(const std::optional<LeaseRow> &row, Instant now)
{
    m_waiting = false;
    if (!m_firstReadAt)
        m_firstReadAt = now;
    const LeaseRow read = row.value_or(LeaseRow());
    // An answer that was late may show an older row than is known.
    if (m_known && read.version < m_row.version)
        return;
    // A row that has not changed while the table was away has not been renewed either.
    if (read.version != m_row.version)
        m_seenAt = now;
    m_known = true;
    m_row = read;
    // A renewal whose answer was lost is confirmed by the next one, at once.
    if (isOurs())
        m_triedAt = now - m_limits.renewal;
}

void PlacementLease::onWritten(const std::optional<Version> &version, Instant sentAt)
{
    m_waiting = false;
    if (!version) {
        m_known = false;
        m_confirmedAt.reset();
        return;
    }
    m_row = proposal();
    m_row.version = *version;
    m_confirmedAt = sentAt;
}

void PlacementLease::onFailed(Instant now)
{
    m_waiting = false;
    m_triedAt = now;
    // The write may have taken effect: only reading tells the row's version.
    m_known = false;
}

void PlacementLease::onHolderNews(const LeaseRow &row, Instant now)
{
    if (row.holder == m_self || (m_known && row.version < m_row.version))
        return;
    m_newsAt = std::max(m_newsAt, now);
    // The renewal was sent before this news, so its validity ends before that of one sent now.
    if (m_waiting || (m_known && row.version == m_row.version))
        return;
    m_known = true;
    m_row = row;
    m_seenAt = now;
    m_confirmedAt.reset();
}

bool PlacementLease::mayOrder(Instant now) const
{
    return !m_resigned && m_confirmedAt && now - *m_confirmedAt < m_limits.validity;
}

} // namespace quetzalyoke
