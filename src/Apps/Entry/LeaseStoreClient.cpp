#include "Apps/Entry/LeaseStoreClient.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

#include <sstream>

namespace quetzalyoke {

namespace {

// The peer's own call at the store included; shorter than a lease's validity less one renewal.
constexpr std::chrono::milliseconds relayTimeout{800};
constexpr HttpClientConnection::Limits relayLimits{std::chrono::milliseconds(300),
                                                   std::chrono::milliseconds(1000)};

// Names of instances hold no spaces.
std::string encode(const LeaseRow &row)
{
    std::ostringstream out;
    out << row.holder.text() << ' ' << row.incarnation.count() << ' ' << row.fencingToken.count()
        << ' ' << row.version.count();
    return out.str();
}

std::optional<LeaseRow> decode(const std::string &text)
{
    std::istringstream in(text);
    std::string holder;
    std::int64_t incarnation = 0;
    std::int64_t fencing = 0;
    std::int64_t version = 0;
    if (!(in >> holder >> incarnation >> fencing >> version))
        return {};
    return LeaseRow{InstanceId(holder), Incarnation(incarnation), FencingToken(fencing),
                    Version(version)};
}

} // namespace

LeaseStoreClient::LeaseStoreClient(EntryState &state, PeersProvider peers)
    : m_state(state), m_peers(std::move(peers))
{ }

HttpClient *LeaseStoreClient::selectPeerClient()
{
    m_retired.clear();
    if (!m_isViaPeer)
        return nullptr;
    for (const StatePeer &peer : m_peers()) {
        if (!peer.candidate.isAlive || !peer.candidate.followsStore)
            continue;
        if (!m_peerClient || m_peerClient->peer().text() != peer.httpAddress) {
            if (m_peerClient)
                m_retired.push_back(std::move(m_peerClient));
            m_peerClient = std::make_unique<HttpClient>(
                m_state.loop, Address::parse(peer.httpAddress), relayLimits);
        }
        Metrics::incrementCounter("lease_relayed");
        return m_peerClient.get();
    }
    return nullptr;
}

// Whichever way has failed, the other one is tried next.
void LeaseStoreClient::updateRoute(bool isAnswered)
{
    if (isAnswered)
        return;
    m_isViaPeer = !m_isViaPeer;
    logNotable("lease_route", {{"to", m_isViaPeer ? "peer" : "store"}});
}

void LeaseStoreClient::read(EntryPlatform::LeaseReadHook done)
{
    HttpClient *caller = selectPeerClient();
    if (!caller) {
        m_state.platform.readLease([this, done = std::move(done)](const auto &row) {
            updateRoute(row.has_value());
            done(row);
        });
        return;
    }
    const std::string request
        = "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + caller->peer().text() + "\r\n\r\n";
    caller->call(
        request, relayTimeout, [this, done = std::move(done)](const HttpCallResult &result) {
            const bool isAnswered
                = result.hasResponse() && (result.status == 200 || result.status == 404);
            updateRoute(isAnswered);
            if (!isAnswered) {
                done({});
                return;
            }
            done(std::optional<std::optional<LeaseRow>>(std::in_place, decode(result.body)));
        });
}

void LeaseStoreClient::write(const LeaseRow &row, WriteHook done)
{
    HttpClient *caller = selectPeerClient();
    if (!caller) {
        m_state.platform.writeLease(
            row, [this, done = std::move(done)](EntryPlatform::WriteOutcome outcome, Version at) {
                updateRoute(outcome != EntryPlatform::WriteOutcome::Failed);
                done(outcome, at);
            });
        return;
    }
    const std::string body = encode(row);
    const std::string request = "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: " + caller->peer().text()
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    caller->call(
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

void LeaseStoreClient::handleLeaseRequest(const HttpServerConnection::Pointer &session,
                                          const HttpRequest &request)
{
    if (request.method == "GET") {
        m_state.platform.readLease([session](const auto &row) {
            if (!row)
                session->sendResponse(503, "", "the store gave no answer");
            else if (!*row)
                session->sendResponse(404, "", "there is no lease");
            else
                session->sendResponse(200, "", encode(**row));
        });
        return;
    }
    const auto row = decode(request.body);
    if (!row) {
        session->sendResponse(400, "", "the row can't be read");
        return;
    }
    m_state.platform.writeLease(
        *row, [session, row = *row](EntryPlatform::WriteOutcome outcome, Version version) {
            LeaseRow written = row;
            written.version = version;
            switch (outcome) {
            case EntryPlatform::WriteOutcome::Done:
                session->sendResponse(200, "", encode(written));
                return;
            case EntryPlatform::WriteOutcome::Conflict:
                session->sendResponse(412, "", "the row has changed");
                return;
            case EntryPlatform::WriteOutcome::Failed:
                session->sendResponse(503, "", "the outcome is unknown");
                return;
            }
        });
}

} // namespace quetzalyoke
