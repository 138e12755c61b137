#include "Apps/Entry/LeaseStoreClient.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"
#include "Core/ExternalText.h"

#include <sstream>

namespace quetzalyoke {

namespace {

// Includes the peer's own call to the store. Must be shorter than a lease's validity less one
// renewal interval.
constexpr std::chrono::milliseconds relayTimeout{800};
constexpr HttpClientConnection::Limits relayLimits{std::chrono::milliseconds(300),
                                                   std::chrono::milliseconds(1000)};

// Stands for the holder if there is no row. The values are separated by spaces; instance names
// contain none.
constexpr const char *noHolder = "-";

std::string encode(const LeaseRow &row)
{
    std::ostringstream out;
    out << (row.exists() ? row.holder.text() : noHolder) << ' ' << row.incarnation.count() << ' '
        << row.fencingToken.count() << ' ' << row.version.count() << ' ' << row.era.count();
    return out.str();
}

std::optional<LeaseRow> decode(const std::string &text)
{
    std::istringstream in(text);
    std::string holder;
    std::int64_t incarnation = 0;
    std::int64_t fencing = 0;
    std::int64_t version = 0;
    std::int64_t era = 0;
    if (!(in >> holder >> incarnation >> fencing >> version >> era))
        return {};
    if (!isExternalName(holder))
        return {};
    return LeaseRow{InstanceId(holder == noHolder ? std::string() : holder),
                    Incarnation(incarnation), FencingToken(fencing), Version(version),
                    StoreEra(era)};
}

} // namespace

LeaseStoreClient::LeaseStoreClient(EntryState &state, PeersProvider peers)
    : m_state(state), m_peers(std::move(peers))
{ }

HttpClient *LeaseStoreClient::selectPeerClient()
{
    m_retiredClients.clear();
    if (!m_isViaPeer)
        return nullptr;
    for (const StatePeer &peer : m_peers()) {
        if (!peer.candidate.isAlive || !peer.candidate.followsStore)
            continue;
        if (!m_peerClient || m_peerClient->peer().text() != peer.httpAddress) {
            if (m_peerClient)
                m_retiredClients.push_back(std::move(m_peerClient));
            m_peerClient = std::make_unique<HttpClient>(
                m_state.loop, Address::parse(peer.httpAddress), relayLimits);
        }
        Metrics::incrementCounter("lease_relayed");
        return m_peerClient.get();
    }
    return nullptr;
}

// After a failure the next call takes the other route.
void LeaseStoreClient::updateRoute(bool isSuccess)
{
    if (isSuccess)
        return;
    m_isViaPeer = !m_isViaPeer;
    logNotable("lease_route", {{"to", m_isViaPeer ? "peer" : "store"}});
}

void LeaseStoreClient::read(EntryPlatform::LeaseReadHook done)
{
    HttpClient *client = selectPeerClient();
    if (!client) {
        m_state.platform.readLease([this, done = std::move(done)](const auto &row) {
            updateRoute(row.has_value());
            done(row);
        });
        return;
    }
    const std::string request
        = "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + client->peer().text() + "\r\n\r\n";
    client->call(
        request, relayTimeout, [this, done = std::move(done)](const HttpCallResult &result) {
            const auto row
                = result.hasResponse() && result.status == 200 ? decode(result.body) : std::nullopt;
            updateRoute(row.has_value());
            done(row);
        });
}

void LeaseStoreClient::write(const LeaseRow &row, WriteHook done)
{
    HttpClient *client = selectPeerClient();
    if (!client) {
        m_state.platform.writeLease(
            row, [this, done = std::move(done)](EntryPlatform::WriteOutcome outcome, Version at) {
                updateRoute(outcome != EntryPlatform::WriteOutcome::Failed);
                done(outcome, at);
            });
        return;
    }
    const std::string body = encode(row);
    const std::string request = "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: " + client->peer().text()
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    client->call(
        request, relayTimeout, [this, done = std::move(done)](const HttpCallResult &result) {
            const bool isConflict = result.hasResponse() && result.status == 412;
            const auto written
                = result.hasResponse() && result.status == 200 ? decode(result.body) : std::nullopt;
            updateRoute(isConflict || written);
            if (written)
                done(EntryPlatform::WriteOutcome::Done, written->version);
            else
                done(isConflict ? EntryPlatform::WriteOutcome::Conflict
                                : EntryPlatform::WriteOutcome::Failed,
                     Version());
        });
}

void LeaseStoreClient::handleLeaseRequest(const HttpServerConnection::Pointer &connection,
                                          const HttpRequest &request)
{
    if (request.method == "GET") {
        m_state.platform.readLease([connection](const auto &row) {
            if (!row)
                connection->sendResponse(503, "", "the store did not respond");
            else
                connection->sendResponse(200, "", encode(*row));
        });
        return;
    }
    const auto row = decode(request.body);
    if (!row) {
        connection->sendResponse(400, "", "the row can't be read");
        return;
    }
    m_state.platform.writeLease(
        *row, [connection, row = *row](EntryPlatform::WriteOutcome outcome, Version version) {
            LeaseRow written = row;
            written.version = version;
            switch (outcome) {
            case EntryPlatform::WriteOutcome::Done:
                connection->sendResponse(200, "", encode(written));
                return;
            case EntryPlatform::WriteOutcome::Conflict:
                connection->sendResponse(412, "", "the row has changed");
                return;
            case EntryPlatform::WriteOutcome::Failed:
                connection->sendResponse(503, "", "the outcome is unknown");
                return;
            }
        });
}

} // namespace quetzalyoke
