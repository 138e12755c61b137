#include "Serving/Placement/PlacementLease.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Delay after a failed call.
constexpr Duration retryDelay = std::chrono::milliseconds(300);

// Number of gateways that read the row when the holder has been silent. The others rely on them.
constexpr std::size_t watcherCount = 3;

// Longest interval between two reads of a watcher, however rare messages about the holder are.
constexpr Duration maxReadInterval = std::chrono::seconds(2);

// Time for which an expired lease is left to the gateway of the next lower rank: a write and the
// message about it.
constexpr Duration delayPerRank = std::chrono::milliseconds(400);

// After this many message intervals of silence, more than one message was late or lost.
constexpr double watcherSilenceIntervals = 1.5;
constexpr double lostMessageIntervals = 2.5;

} // namespace

namespace {

constexpr std::int64_t tokensPerEra = 1'000'000;

// The table starts with this era; in later ones the row may be missing because it was lost.
constexpr StoreEra firstEra{1};

} // namespace

FencingToken firstFencingToken(StoreEra era)
{
    return FencingToken(era.count() * tokensPerEra + 1);
}

bool LeaseRow::isFromCopy() const
{
    return exists() ? fencingToken < firstFencingToken(era) : era > firstEra;
}

PlacementLease::PlacementLease(const Settings &settings, InstanceId self, Incarnation incarnation)
    : m_settings(settings), m_self(std::move(self)), m_incarnation(incarnation)
{ }

bool PlacementLease::isHeldBySelf() const
{
    return m_isRowKnown && !m_row.isFromCopy() && m_row.holder == m_self
        && m_row.incarnation == m_incarnation;
}

bool PlacementLease::mayTakeOver(Instant now) const
{
    if (m_row.isFromCopy())
        return isSoleHolder(now) || now - m_versionSeenAt >= takeoverDelay();
    // An earlier incarnation of this instance ended before this one began, and engines distinguish
    // holders by instance.
    if (m_row.holder == m_self)
        return true;
    if (!m_row.exists())
        return m_firstReadAt && now - *m_firstReadAt >= m_settings.extraTakeoverDelay;
    return now - m_versionSeenAt >= takeoverDelay();
}

void PlacementLease::setTakeoverRank(std::size_t rank, Duration messageInterval)
{
    m_rank = rank;
    m_messageInterval = messageInterval;
}

Duration PlacementLease::takeoverDelay() const
{
    const Duration expiryDelay = m_settings.validity + m_settings.holderChangeInterval
        + m_settings.takeoverMargin + m_settings.extraTakeoverDelay;
    const Duration byRank = delayPerRank * static_cast<int>(std::min(m_rank, watcherCount));
    if (m_rank < watcherCount)
        return expiryDelay + byRank;
    // A watcher may have seen the row's last version later than this gateway, and its takeover
    // becomes known with its next message.
    return expiryDelay + maxReadInterval + byRank + scaled(m_messageInterval, lostMessageIntervals);
}

// Only watchers read a row whose lease may not have expired.
Duration PlacementLease::readDelay() const
{
    if (m_rank >= watcherCount)
        return takeoverDelay();
    return std::max(m_settings.silenceBeforeRead,
                    std::min(scaled(m_messageInterval, watcherSilenceIntervals), maxReadInterval));
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
    if (now - m_lastCallAt < retryDelay)
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
    row.fencingToken = isHeldBySelf()
        ? m_row.fencingToken
        : std::max(m_row.fencingToken + FencingToken(1), firstFencingToken(m_row.era));
    row.version = m_row.version;
    row.era = m_row.era;
    return row;
}

void PlacementLease::onRead(const std::optional<LeaseRow> &row, Instant now)
{
    m_isCallPending = false;
    if (!m_firstReadAt)
        m_firstReadAt = now;
    const LeaseRow newRow = row.value_or(LeaseRow());
    // A late response may show an older row than is known.
    if (m_isRowKnown && newRow.version < m_row.version)
        return;
    // A row that has not changed while the table was unreachable has not been renewed either.
    if (newRow.version != m_row.version)
        m_versionSeenAt = now;
    m_isRowKnown = true;
    m_row = newRow;
    // A renewal whose response was lost is confirmed by another one, which is due at once.
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
    // The write may have taken effect, so the row must be read to learn its version.
    m_isRowKnown = false;
}

void PlacementLease::onHolderRenewal(const LeaseRow &row, Instant now)
{
    if (row.holder == m_self || (m_isRowKnown && row.version < m_row.version))
        return;
    m_holderHeardAt = std::max(m_holderHeardAt, now);
    // The renewal was sent before this message, so its validity ends before that of one sent now.
    if (m_isCallPending || (m_isRowKnown && row.version == m_row.version))
        return;
    m_isRowKnown = true;
    m_row = row;
    m_versionSeenAt = now;
    m_confirmedRenewalSentAt.reset();
}

bool PlacementLease::isSoleHolder(Instant now) const
{
    return !m_resigned && m_confirmedRenewalSentAt
        && now - *m_confirmedRenewalSentAt < m_settings.validity + m_settings.holderChangeInterval;
}

bool PlacementLease::mayOrderEngines(Instant now) const
{
    return !m_resigned && !m_row.isFromCopy() && m_confirmedRenewalSentAt
        && now - *m_confirmedRenewalSentAt < m_settings.validity;
}

} // namespace quetzalyoke
