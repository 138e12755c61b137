#include "Apps/Entry/LeaseRelay.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"

#include <sstream>

namespace quetzalyoke {

namespace {

// The peer's own call at the store included; shorter than a lease's validity less one renewal.
constexpr std::chrono::milliseconds relayTimeout{800};
constexpr ClientConnection::Limits relayLimits{std::chrono::milliseconds(300),
                                               std::chrono::milliseconds(1000)};

// Names of instances hold no spaces.
std::string encode(const LeaseRow &row)
{
    std::ostringstream out;
    out << row.holder.text() << ' ' << row.incarnation.count() << ' ' << row.fencing.count() << ' '
        << row.version.count();
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
    return LeaseRow{InstanceId(holder), Incarnation(incarnation), FencingNumber(fencing),
                    Version(version)};
}

} // namespace

LeaseRelay::LeaseRelay(EntryState &state, Peers peers) : m_state(state), m_peers(std::move(peers))
{ }

HttpCaller *LeaseRelay::route()
{
    m_retired.clear();
    if (!m_isViaPeer)
        return nullptr;
    for (const StatePeer &peer : m_peers()) {
        if (!peer.candidate.isAlive || !peer.candidate.followsStore)
            continue;
        if (!m_caller || m_caller->peer().text() != peer.http) {
            if (m_caller)
                m_retired.push_back(std::move(m_caller));
            m_caller = std::make_unique<HttpCaller>(m_state.loop, Address::parse(peer.http),
                                                    relayLimits);
        }
        Metrics::count("lease_relayed");
        return m_caller.get();
    }
    return nullptr;
}

// Whichever way has failed, the other one is tried next.
void LeaseRelay::noteOutcome(bool isAnswered)
{
    if (isAnswered)
        return;
    m_isViaPeer = !m_isViaPeer;
    logNotable("lease_route", {{"to", m_isViaPeer ? "peer" : "store"}});
}

void LeaseRelay::read(EntryPlatform::LeaseRead done)
{
    HttpCaller *caller = route();
    if (!caller) {
        m_state.platform.readLease([this, done = std::move(done)](const auto &row) {
            noteOutcome(row.has_value());
            done(row);
        });
        return;
    }
    const std::string request
        = "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + caller->peer().text() + "\r\n\r\n";
    caller->call(request, relayTimeout, [this, done = std::move(done)](const HttpOutcome &outcome) {
        const bool isAnswered
            = outcome.isAnswered() && (outcome.status == 200 || outcome.status == 404);
        noteOutcome(isAnswered);
        if (!isAnswered) {
            done({});
            return;
        }
        done(std::optional<std::optional<LeaseRow>>(std::in_place, decode(outcome.body)));
    });
}

void LeaseRelay::write(const LeaseRow &row, WriteDone done)
{
    HttpCaller *caller = route();
    if (!caller) {
        m_state.platform.writeLease(
            row, [this, done = std::move(done)](EntryPlatform::WriteOutcome outcome, Version at) {
                noteOutcome(outcome != EntryPlatform::WriteOutcome::Failed);
                done(outcome, at);
            });
        return;
    }
    const std::string body = encode(row);
    const std::string request = "POST " + std::string(path)
        + " HTTP/1.1\r\nHost: " + caller->peer().text()
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    caller->call(request, relayTimeout, [this, done = std::move(done)](const HttpOutcome &outcome) {
        const bool isConflict = outcome.isAnswered() && outcome.status == 412;
        const auto written
            = outcome.isAnswered() && outcome.status == 200 ? decode(outcome.body) : std::nullopt;
        noteOutcome(isConflict || written);
        if (written)
            done(EntryPlatform::WriteOutcome::Done, written->version);
        else
            done(isConflict ? EntryPlatform::WriteOutcome::Conflict
                            : EntryPlatform::WriteOutcome::Failed,
                 Version());
    });
}

void LeaseRelay::answer(const CallerSession::Pointer &session, const CallerRequest &request)
{
    if (request.method == "GET") {
        m_state.platform.readLease([session](const auto &row) {
            if (!row)
                session->answer(503, "", "the store gave no answer");
            else if (!*row)
                session->answer(404, "", "there is no lease");
            else
                session->answer(200, "", encode(**row));
        });
        return;
    }
    const auto row = decode(request.body);
    if (!row) {
        session->answer(400, "", "the row can't be read");
        return;
    }
    m_state.platform.writeLease(
        *row, [session, row = *row](EntryPlatform::WriteOutcome outcome, Version version) {
            LeaseRow written = row;
            written.version = version;
            switch (outcome) {
            case EntryPlatform::WriteOutcome::Done:
                session->answer(200, "", encode(written));
                return;
            case EntryPlatform::WriteOutcome::Conflict:
                session->answer(412, "", "the row has changed");
                return;
            case EntryPlatform::WriteOutcome::Failed:
                session->answer(503, "", "the outcome is unknown");
                return;
            }
        });
}

} // namespace quetzalyoke
