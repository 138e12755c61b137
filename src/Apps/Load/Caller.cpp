#include "Apps/Load/Caller.h"

#include "Adapters/Process.h"
#include "Apps/Load/AnswerReader.h"
#include "StandIns/Engine/Prompt.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds connectTimeout{2};
constexpr std::chrono::seconds answerTimeout{90};

// What the engine stand-in starts every word of this request's answer with.
std::string markOf(const PlannedRequest &request)
{
    const standins::Prompt prompt(request.target, Json{{"prompt", request.prompt}});
    const std::string word = prompt.word(0);
    return word.substr(0, word.find('-') + 1);
}

void readRefusal(Outcome &outcome, const std::string &body, int status)
{
    outcome.kind = Outcome::Kind::Refused;
    outcome.refusal = "status_" + std::to_string(status);
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object())
        outcome.refusal = json["error"].value("code", outcome.refusal);
}

} // namespace

Caller::Caller(std::vector<Address> gateways, std::size_t first)
    : m_gateways(std::move(gateways)), m_gateway(first % m_gateways.size())
{
    connect();
}

void Caller::connect()
{
    const Address &address = m_gateways[m_gateway];
    m_client = std::make_unique<httplib::Client>(address.host, address.port);
    m_client->set_tcp_nodelay(true);
    m_client->set_keep_alive(true);
    m_client->set_connection_timeout(connectTimeout);
    m_client->set_read_timeout(answerTimeout);
}

// A balancer sends a new connection elsewhere when an instance takes none; nothing was sent then.
Outcome Caller::call(const PlannedRequest &request, const std::string &path, const std::string &key,
                     Instant due)
{
    Outcome outcome;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        outcome = tryOnce(request, path, key, due);
        if (!m_refusedConnection)
            return outcome;
        m_gateway = (m_gateway + 1) % m_gateways.size();
        connect();
    }
    return outcome;
}

Outcome Caller::tryOnce(const PlannedRequest &request, const std::string &path,
                        const std::string &key, Instant due)
{
    Outcome outcome;
    AnswerReader reader(request.isBooking() ? "" : markOf(request));
    std::string whole;
    httplib::Request req;
    req.method = "POST";
    req.path = path;
    req.headers = {{"Content-Type", "application/json"}};
    if (!key.empty())
        req.headers.emplace("Authorization", "Bearer " + key);
    req.body = request.body();
    int status = 0;
    req.response_handler = [&](const httplib::Response &response) {
        status = response.status;
        outcome.requestId = response.get_header_value("X-Request-Id");
        outcome.runState = response.get_header_value("Quetzalyoke-Run-State");
        return true;
    };
    req.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        if (status == 200 && !request.isBooking())
            reader.take({data, n}, Process::now());
        else
            whole.append(data, n);
        return true;
    };
    const auto result = m_client->send(req);
    m_refusedConnection = !result && result.error() == httplib::Error::Connection;
    outcome.whole = Process::now() - due;
    outcome.tokens = reader.tokens();
    if (!result) {
        outcome.refusal = httplib::to_string(result.error());
        return outcome;
    }
    if (status / 100 != 2) {
        readRefusal(outcome, whole, status);
        return outcome;
    }
    if (request.isBooking()) {
        outcome.kind = Outcome::Kind::Whole;
        return outcome;
    }
    outcome.firstToken = reader.firstAt() - due;
    outcome.whole = reader.lastAt() - due;
    if (reader.isForeign())
        outcome.kind = Outcome::Kind::Foreign;
    else if (reader.isEnded() && reader.tokens() == request.answerTokens)
        outcome.kind = Outcome::Kind::Whole;
    else
        outcome.refusal = "short answer";
    return outcome;
}

} // namespace quetzalyoke
