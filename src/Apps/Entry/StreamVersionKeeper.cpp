#include "Apps/Entry/StreamVersionKeeper.h"

#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

constexpr Duration updateInterval = std::chrono::milliseconds(500);

// After a failed call.
constexpr Duration retryInterval = std::chrono::milliseconds(500);

// All gateways see a change of the listed versions at about the same time.
constexpr Duration maxSightingsDelay = std::chrono::milliseconds(300);

// Between the lease holder's writes while a service has several versions; well below the time for
// which a version counts.
constexpr Duration sightingsInterval = std::chrono::seconds(10);

// Between writes of one gateway: what is not written yet is lost with it. All gateways together
// stay below the transactions that one part of a table can take.
constexpr Duration minStreamInterval = std::chrono::milliseconds(100);
constexpr Duration streamIntervalPerGateway = std::chrono::milliseconds(8);

} // namespace

void StreamVersionKeeper::tick(bool holdsLease)
{
    const Instant now = steadyNow();
    if (now >= m_nextUpdateAt) {
        m_nextUpdateAt = now + updateInterval;
        onListChanged();
        m_state.streamVersions.removeExpired(now);
    }
    if (!m_state.hasReadVersions && !m_isReadPending && now >= m_nextReadAt)
        readSightings();
    if (m_state.hasReadVersions && !m_isSightingWritePending)
        writeSightings(holdsLease, now);
    if (!m_isStreamWritePending && now >= m_nextStreamWriteAt)
        writeStreams(now);
}

void StreamVersionKeeper::onStoreRestored()
{
    m_state.streamVersions.onStoreRestored();
    m_writeSightingsAt = steadyNow();
}

void StreamVersionKeeper::onListChanged()
{
    const Instant now = steadyNow();
    if (!m_state.serviceVersions.update(m_state.servers, now) || m_writeSightingsAt)
        return;
    m_writeSightingsAt = now + scaled(maxSightingsDelay, m_state.random());
}

void StreamVersionKeeper::readSightings()
{
    m_isReadPending = true;
    m_nextReadAt = steadyNow() + retryInterval;
    m_state.platform.readVersionSightings([this](const auto &sightings) {
        m_isReadPending = false;
        if (!sightings)
            return;
        m_state.hasReadVersions = true;
        for (const VersionSighting &it : *sightings)
            m_state.serviceVersions.add(it, steadyNow());
        logNotable("versions_read",
                   {{"versions", sightings->size()},
                    {"several", m_state.serviceVersions.hasSeveral(steadyNow()) ? 1 : 0}});
    });
}

void StreamVersionKeeper::writeSightings(bool holdsLease, Instant now)
{
    const bool isChanged = m_writeSightingsAt && now >= *m_writeSightingsAt;
    const bool isDue = holdsLease && now - m_sightingsWrittenAt >= sightingsInterval
        && m_state.serviceVersions.hasSeveral(now);
    if (!isChanged && !isDue)
        return;
    m_writeSightingsAt.reset();
    m_isSightingWritePending = true;
    const auto sightings = m_state.serviceVersions.sightings(now);
    m_state.platform.writeVersionSightings(sightings, [this, count = sightings.size()](bool ok) {
        m_isSightingWritePending = false;
        if (ok)
            m_sightingsWrittenAt = steadyNow();
        else
            m_writeSightingsAt = steadyNow() + retryInterval;
        logNotable("versions_written", {{"versions", count}, {"ok", ok ? 1 : 0}});
    });
}

void StreamVersionKeeper::writeStreams(Instant now)
{
    // With one version everywhere there is nothing to look for among the streams.
    if (!m_state.mayHaveSeveralVersions() && !m_state.streamVersions.hasRemovals())
        return;
    const StreamVersionWrite write = m_state.streamVersions.nextWrite(
        [&](const ServiceName &service) { return m_state.mayHaveSeveralVersions(service); });
    if (write.isEmpty())
        return;
    m_isStreamWritePending = true;
    m_nextStreamWriteAt = now
        + std::max(minStreamInterval,
                   streamIntervalPerGateway * static_cast<int>(m_state.gatewayCount()));
    m_state.platform.writeStreamVersions(write, [this, write](bool ok) {
        m_isStreamWritePending = false;
        m_state.streamVersions.finishWrite(write, ok);
        if (!ok) {
            m_nextStreamWriteAt = steadyNow() + retryInterval;
            logNotable("streams_not_written", {{"streams", write.added.size()}});
        }
    });
}

} // namespace quetzalyoke
