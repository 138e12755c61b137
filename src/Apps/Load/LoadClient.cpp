#include "Apps/Load/LoadClient.h"

#include "Adapters/Process.h"
#include "Apps/Load/CompletionStreamReader.h"
#include "StandIns/Engine/Prompt.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds connectTimeout{2};
constexpr std::chrono::seconds responseTimeout{90};

// Returns the prefix of every word in the engine stand-in's response to \a request.
std::string expectedTokenPrefix(const PlannedRequest &request)
{
    const standins::Prompt prompt(request.target, Json{{"prompt", request.prompt}});
    const std::string word = prompt.outputToken(0);
    return word.substr(0, word.find('-') + 1);
}

void readRefusal(RequestOutcome &outcome, const std::string &body, int status)
{
    outcome.kind = RequestOutcome::Kind::Refused;
    outcome.failureReason = "status_" + std::to_string(status);
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object())
        outcome.failureReason = json["error"].value("code", outcome.failureReason);
}

} // namespace

LoadClient::LoadClient(std::vector<Address> gateways, std::size_t firstGateway)
    : m_gateways(std::move(gateways)), m_gateway(firstGateway % m_gateways.size())
{
    connect();
}

void LoadClient::connect()
{
    const Address &address = m_gateways[m_gateway];
    m_client = std::make_unique<httplib::Client>(address.host, address.port);
    m_client->set_tcp_nodelay(true);
    m_client->set_keep_alive(true);
    m_client->set_connection_timeout(connectTimeout);
    m_client->set_read_timeout(responseTimeout);
}

// Like a load balancer, connects to the next gateway if one refuses the connection; nothing has
// been sent in that case.
RequestOutcome LoadClient::call(const PlannedRequest &request, const std::string &path,
                                const std::string &key, Instant due)
{
    RequestOutcome outcome;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        outcome = sendOnce(request, path, key, due);
        if (!m_connectionRefused)
            return outcome;
        m_gateway = (m_gateway + 1) % m_gateways.size();
        connect();
    }
    return outcome;
}

RequestOutcome LoadClient::sendOnce(const PlannedRequest &request, const std::string &path,
                                    const std::string &key, Instant due)
{
    RequestOutcome outcome;
    CompletionStreamReader reader(request.isServiceCall() ? "" : expectedTokenPrefix(request));
    std::string responseBody;
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
        if (status == 200 && !request.isServiceCall())
            reader.parse({data, n}, Process::now());
        else
            responseBody.append(data, n);
        return true;
    };
    const auto result = m_client->send(req);
    m_connectionRefused = !result && result.error() == httplib::Error::Connection;
    outcome.totalLatency = Process::now() - due;
    outcome.tokens = reader.tokens();
    if (!result) {
        outcome.failureReason = httplib::to_string(result.error());
        return outcome;
    }
    if (status / 100 != 2) {
        readRefusal(outcome, responseBody, status);
        return outcome;
    }
    if (request.isServiceCall()) {
        outcome.kind = RequestOutcome::Kind::Complete;
        return outcome;
    }
    outcome.timeToFirstToken = reader.firstTokenAt() - due;
    outcome.totalLatency = reader.lastTokenAt() - due;
    if (reader.isMismatched())
        outcome.kind = RequestOutcome::Kind::Mismatched;
    else if (reader.isEnded() && reader.tokens() == request.outputTokens)
        outcome.kind = RequestOutcome::Kind::Complete;
    else
        outcome.failureReason = "short answer";
    return outcome;
}

} // namespace quetzalyoke
