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

PlacementLease::PlacementLease(const Settings &limits, InstanceId self, Incarnation incarnation)
    : m_settings(limits), m_self(std::move(self)), m_incarnation(incarnation)
{ }

bool PlacementLease::isHeldBySelf() const
{
    return m_isRowKnown && m_row.version.count() != 0 && m_row.holder == m_self
        && m_row.incarnation == m_incarnation;
}

bool PlacementLease::mayTakeOver(Instant now) const
{
    // An earlier life of this instance ended before this one began, and engines tell holders apart
    // by instance.
    if (m_row.holder == m_self && m_row.version.count() != 0)
        return true;
    if (m_row.version.count() == 0)
        return m_firstReadAt && now - *m_firstReadAt >= m_settings.extraTakeoverDelay;
    return now - m_versionSeenAt >= takeoverDelay();
}

void PlacementLease::setTakeoverRank(std::size_t rank, Duration newsInterval)
{
    m_rank = rank;
    m_newsInterval = newsInterval;
}

Duration PlacementLease::takeoverDelay() const
{
    const Duration vacant = m_settings.validity + m_settings.holderChangeInterval
        + m_settings.takeoverMargin + m_settings.extraTakeoverDelay;
    const Duration byRank = delayPerRank * static_cast<int>(std::min(m_rank, watchers));
    if (m_rank < watchers)
        return vacant + byRank;
    // A watcher may have seen the row's last version later, and tells with its next news.
    return vacant + longestQuiet + byRank + scaled(m_newsInterval, lostIntervals);
}

// Only watchers look at a row that may still be in force.
Duration PlacementLease::readDelay() const
{
    if (m_rank >= watchers)
        return takeoverDelay();
    return std::max(m_settings.silenceBeforeRead,
                    std::min(scaled(m_newsInterval, watchedIntervals), longestQuiet));
}

PlacementLease::Action PlacementLease::nextAction(Instant now)
{
    if (m_isCallPending || m_resigned)
        return Action::None;
    if (isHeldBySelf()) {
        if (now - m_lastCallAt < m_settings.renewalInterval)
            return Action::None;
        m_isCallPending = true;
        m_lastCallAt = now;
        return Action::Write;
    }
    if (m_isRowKnown && now - m_holderHeardAt < readDelay())
        return Action::None;
    if (now - m_lastCallAt < retryPause)
        return Action::None;
    // A row that has not been read lately may have been renewed since.
    const bool takesOver = m_isRowKnown && mayTakeOver(now);
    if (m_isRowKnown && !takesOver && now - m_lastCallAt < readDelay())
        return Action::None;
    m_isCallPending = true;
    m_lastCallAt = now;
    return takesOver ? Action::Write : Action::Read;
}

LeaseRow PlacementLease::rowToWrite() const
{
    LeaseRow row;
    row.holder = m_self;
    row.incarnation = m_incarnation;
    row.fencingToken = isHeldBySelf() ? m_row.fencingToken : m_row.fencingToken + FencingToken(1);
    row.version = m_row.version;
    return row;
}

void PlacementLease::onRead(const std::optional<LeaseRow> &row, Instant now)
{
    m_isCallPending = false;
    if (!m_firstReadAt)
        m_firstReadAt = now;
    const LeaseRow read = row.value_or(LeaseRow());
    // An answer that was late may show an older row than is known.
    if (m_isRowKnown && read.version < m_row.version)
        return;
    // A row that has not changed while the table was away has not been renewed either.
    if (read.version != m_row.version)
        m_versionSeenAt = now;
    m_isRowKnown = true;
    m_row = read;
    // A renewal whose answer was lost is confirmed by the next one, at once.
    if (isHeldBySelf())
        m_lastCallAt = now - m_settings.renewalInterval;
}

void PlacementLease::onWritten(const std::optional<Version> &version, Instant sentAt)
{
    m_isCallPending = false;
    if (!version) {
        m_isRowKnown = false;
        m_confirmedRenewalSentAt.reset();
        return;
    }
    m_row = rowToWrite();
    m_row.version = *version;
    m_confirmedRenewalSentAt = sentAt;
}

void PlacementLease::onCallFailed(Instant now)
{
    m_isCallPending = false;
    m_lastCallAt = now;
    // The write may have taken effect: only reading tells the row's version.
    m_isRowKnown = false;
}

void PlacementLease::onHolderRenewal(const LeaseRow &row, Instant now)
{
    if (row.holder == m_self || (m_isRowKnown && row.version < m_row.version))
        return;
    m_holderHeardAt = std::max(m_holderHeardAt, now);
    // The renewal was sent before this news, so its validity ends before that of one sent now.
    if (m_isCallPending || (m_isRowKnown && row.version == m_row.version))
        return;
    m_isRowKnown = true;
    m_row = row;
    m_versionSeenAt = now;
    m_confirmedRenewalSentAt.reset();
}

bool PlacementLease::mayOrderEngines(Instant now) const
{
    return !m_resigned && m_confirmedRenewalSentAt
        && now - *m_confirmedRenewalSentAt < m_settings.validity;
}

} // namespace quetzalyoke
