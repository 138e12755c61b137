#include "Apps/Gateway/CallerApi.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Apps/Gateway/AnswerWriter.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds retryAfterUnavailable{1000};
constexpr int statusForbidden = 403;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

bool isStreamed(const std::string &contentType)
{
    return contentType.starts_with("text/event-stream");
}

void writeStoredResponse(const StoredResponse &response, httplib::Response &res)
{
    std::string type = "application/octet-stream";
    res.status = response.status;
    for (const auto &[name, value] : response.headers) {
        if (strcasecmp(name.c_str(), "Content-Type") == 0)
            type = value;
        else
            res.set_header(name, value);
    }
    res.set_content(response.body, type);
}

StoredResponse statusAndHeadersOf(const ResponseStream &response)
{
    StoredResponse stored;
    stored.status = response.status();
    for (const wire::Header &it : response.headers())
        stored.headers.emplace_back(it.name, it.value);
    return stored;
}

} // namespace

// Counts a request as in flight during its lifetime.
class CallerApi::InFlightGuard
{
public:
    explicit InFlightGuard(std::atomic<int> &count) : m_count(count) { ++m_count; }
    ~InFlightGuard() { --m_count; }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    std::atomic<int> &m_count;
};

CallerApi::CallerApi(const GatewaySettings &settings, const GatewayState &state,
                     RequestForwarder &forwarder, AccountLimits &limits,
                     IdempotencyStore &idempotency)
    : m_state(state), m_authenticator(state), m_parser(settings), m_forwarder(forwarder),
      m_limits(limits), m_idempotency(idempotency)
{ }

void CallerApi::addRoutes(httplib::Server &server)
{
    server.Get("/v1/models", withAdmission(&CallerApi::listModels));
    server.Post("/v1/chat/completions", withAdmission(&CallerApi::createCompletion));
    server.Post("/v1/completions", withAdmission(&CallerApi::createCompletion));
    const auto service = withAdmission(&CallerApi::handleServiceRequest);
    server.Get("/services/.*", service);
    server.Post("/services/.*", service);
    server.Put("/services/.*", service);
    server.Patch("/services/.*", service);
    server.Delete("/services/.*", service);
    server.Options("/services/.*", service);
}

httplib::Server::Handler CallerApi::withAdmission(Handler handler)
{
    return [this, handler](const httplib::Request &req, httplib::Response &res) {
        const auto inFlightGuard = std::make_shared<InFlightGuard>(m_inFlight);
        const auto configuration = m_state.configuration();
        const auto result = admit(req, configuration.get());
        if (const auto *refusal = std::get_if<Refusal>(&result))
            return writeRefusal(*refusal, res);
        (this->*handler)(req, res, *configuration, std::get<AccountId>(result), inFlightGuard);
    };
}

std::variant<AccountId, Refusal> CallerApi::admit(const httplib::Request &req,
                                                  const Configuration *configuration) const
{
    if (!m_accepting) {
        return Refusal{statusUnavailable, "instance_leaving", "this instance is stopping; retry",
                       RunState::NotRun, retryAfterUnavailable};
    }
    if (!configuration) {
        return Refusal{statusUnavailable, "not_configured",
                       "no service list is in force yet; retry", RunState::NotRun,
                       retryAfterUnavailable};
    }
    if (configuration->serviceList.isOpenRoute(req.method, req.path))
        return AccountId();
    auto result = m_authenticator.authenticate(RequestParser::presentedKey(req), Process::now());
    const auto *account = std::get_if<AccountId>(&result);
    if (account && !configuration->serviceList.accounts.contains(*account)) {
        return Refusal{statusForbidden,
                       "unknown_account",
                       "the key's account is no longer listed; ask your operator",
                       RunState::NotRun,
                       {}};
    }
    return result;
}

void CallerApi::listModels(const httplib::Request &, httplib::Response &res,
                           const Configuration &configuration, const AccountId &,
                           const InFlightGuardPtr &)
{
    Json data = Json::array();
    for (const auto &[name, it] : configuration.serviceList.models)
        data.push_back({{"id", name.text()}, {"object", "model"}});
    for (const auto &[name, it] : configuration.serviceList.adapters)
        data.push_back({{"id", name.text()}, {"object", "model"}, {"parent", it.base.text()}});
    res.set_content(dumpJson(Json{{"object", "list"}, {"data", data}}), "application/json");
}

void CallerApi::createCompletion(const httplib::Request &req, httplib::Response &res,
                                 const Configuration &configuration, const AccountId &account,
                                 const InFlightGuardPtr &inFlightGuard)
{
    admitAndRun(m_parser.parseCompletion(req, configuration.serviceList, account), res,
                inFlightGuard);
}

void CallerApi::handleServiceRequest(const httplib::Request &req, httplib::Response &res,
                                     const Configuration &configuration, const AccountId &account,
                                     const InFlightGuardPtr &inFlightGuard)
{
    admitAndRun(m_parser.parseServiceRequest(req, configuration.serviceList, account), res,
                inFlightGuard);
}

void CallerApi::admitAndRun(const RequestParser::Result &parsed, httplib::Response &res,
                            const InFlightGuardPtr &inFlightGuard)
{
    if (const auto *refusal = std::get_if<Refusal>(&parsed))
        return writeRefusal(*refusal, res);
    const ParsedRequest &request = std::get<ParsedRequest>(parsed);
    res.set_header("X-Request-Id", request.id.text());
    if (!request.account.isEmpty()) {
        const auto refusal = m_limits.admit(request.account, request.estimate, Process::now());
        if (refusal)
            return writeRefusal(*refusal, res);
    }
    ProcessTimeline::record(TimelineEventKind::RequestAdmitted, request.id,
                            "account=" + request.account.text() + " target=" + request.target);
    if (!request.isIdempotent && !request.idempotencyKey.empty())
        return runAtMostOnce(request, res);
    forward(request, res, inFlightGuard);
}

void CallerApi::runAtMostOnce(const ParsedRequest &request, httplib::Response &res)
{
    const AttemptId attempt = m_forwarder.newAttemptId();
    const auto agent = m_forwarder.chooseAgent(request);
    const auto claimed = m_idempotency.claim(request, attempt, agent);
    if (const auto *refusal = std::get_if<Refusal>(&claimed))
        return writeRefusal(*refusal, res);
    if (const auto *response = std::get_if<StoredResponse>(&claimed)) {
        res.set_header("Quetzalyoke-Replayed", "yes");
        return writeStoredResponse(*response, res);
    }
    const auto &claim = std::get<IdempotencyStore::Claim>(claimed);
    const auto result = m_forwarder.openResponseStream(request, attempt, agent);
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        m_idempotency.recordRefused(claim, refusal->runState);
        return writeRefusal(*refusal, res);
    }
    const auto complete = readCompleteResponse(*std::get<0>(result), request, res);
    if (!complete)
        return m_idempotency.recordRefused(claim, RunState::Unknown);
    // The response is stored before it is written, so that a retry finds it even if this connection
    // is lost.
    m_idempotency.recordCompleted(claim, complete->response);
    chargeAndWrite(request, *complete, res);
}

void CallerApi::forward(const ParsedRequest &request, httplib::Response &res,
                        const InFlightGuardPtr &inFlightGuard)
{
    auto result = m_forwarder.openResponseStream(request);
    if (const auto *refusal = std::get_if<Refusal>(&result))
        return writeRefusal(*refusal, res);
    auto response = std::move(std::get<0>(result));
    httplib::Response head;
    const std::string type = writeStatusAndHeaders(*response, head);
    if (!isStreamed(type)) {
        const auto complete = readCompleteResponse(*response, request, res);
        if (complete)
            chargeAndWrite(request, *complete, res);
        return;
    }
    res.status = head.status;
    for (const auto &[name, value] : head.headers)
        res.set_header(name, value);
    const auto stream = std::make_shared<PacedStream>(std::move(response), request, m_limits);
    res.set_chunked_content_provider(type,
                                     [stream, inFlightGuard](size_t, httplib::DataSink &sink) {
                                         return stream->writeNext(sink);
                                     });
}

std::optional<CallerApi::CompleteResponse>
CallerApi::readCompleteResponse(ResponseStream &response, const ParsedRequest &request,
                                httplib::Response &res)
{
    CompleteResponse complete{statusAndHeadersOf(response),
                              request.targetsModel ? request.estimate.prompt
                                                   : request.estimate.responseLimit};
    auto status = ResponseStream::Result::NoData;
    while (status == ResponseStream::Result::NoData || status == ResponseStream::Result::Data)
        status = response.read(complete.response.body, complete.tokens);
    if (status == ResponseStream::Result::End)
        return complete;
    writeRefusal(response.refusal(), res);
    return std::nullopt;
}

void CallerApi::chargeAndWrite(const ParsedRequest &request, const CompleteResponse &complete,
                               httplib::Response &res)
{
    if (!request.account.isEmpty() && !waitAndCharge(m_limits, request.account, complete.tokens)) {
        return writeRefusal({statusTooManyRequests,
                             "answer_exceeds_burst",
                             "the response has more tokens than the account's burst; request "
                             "fewer, or stream it",
                             RunState::Partial,
                             {}},
                            res);
    }
    Metrics::incrementCounter("completed_total");
    ProcessTimeline::record(TimelineEventKind::RequestCompleted, request.id);
    writeStoredResponse(complete.response, res);
}

} // namespace quetzalyoke
