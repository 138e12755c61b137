#include "Apps/Gateway/CallerApi.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Apps/Gateway/AnswerWriter.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds retrySoon{1000};
constexpr int statusForbidden = 403;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

bool isStreamed(const std::string &contentType)
{
    return contentType.starts_with("text/event-stream");
}

void writeStored(const StoredResponse &response, httplib::Response &res)
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

StoredResponse headOf(const ResponseStream &response)
{
    StoredResponse stored;
    stored.status = response.status();
    for (const wire::Header &it : response.headers())
        stored.headers.emplace_back(it.name, it.value);
    return stored;
}

} // namespace

// Counts a request as in flight for as long as it lives.
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
                     RequestForwarder &relay, AccountLimits &limits, IdempotencyStore &idempotency)
    : m_state(state), m_authenticator(state), m_parser(settings), m_forwarder(relay),
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
        const auto mark = std::make_shared<InFlightGuard>(m_inFlight);
        const auto configuration = m_state.configuration();
        const auto result = admit(req, configuration.get());
        if (const auto *refusal = std::get_if<Refusal>(&result))
            return writeRefusal(*refusal, res);
        (this->*handler)(req, res, *configuration, std::get<AccountId>(result), mark);
    };
}

std::variant<AccountId, Refusal> CallerApi::admit(const httplib::Request &req,
                                                  const Configuration *configuration) const
{
    if (!m_accepting) {
        return Refusal{statusUnavailable, "instance_leaving",
                       "this instance is stopping; ask again", RunState::NotRun, retrySoon};
    }
    if (!configuration) {
        return Refusal{statusUnavailable, "not_configured",
                       "no service list is in force yet; ask again", RunState::NotRun, retrySoon};
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
    res.set_content(Json{{"object", "list"}, {"data", data}}.dump(), "application/json");
}

void CallerApi::createCompletion(const httplib::Request &req, httplib::Response &res,
                                 const Configuration &configuration, const AccountId &account,
                                 const InFlightGuardPtr &mark)
{
    admitAndRun(m_parser.parseCompletion(req, configuration.serviceList, account), res, mark);
}

void CallerApi::handleServiceRequest(const httplib::Request &req, httplib::Response &res,
                                     const Configuration &configuration, const AccountId &account,
                                     const InFlightGuardPtr &mark)
{
    admitAndRun(m_parser.parseServiceRequest(req, configuration.serviceList, account), res, mark);
}

void CallerApi::admitAndRun(const RequestParser::Result &request, httplib::Response &res,
                            const InFlightGuardPtr &mark)
{
    if (const auto *refusal = std::get_if<Refusal>(&request))
        return writeRefusal(*refusal, res);
    const ParsedRequest &call = std::get<ParsedRequest>(request);
    res.set_header("X-Request-Id", call.id.text());
    if (!call.account.isEmpty()) {
        const auto refusal = m_limits.admit(call.account, call.estimate, Process::now());
        if (refusal)
            return writeRefusal(*refusal, res);
    }
    ProcessTimeline::record(TimelineEventKind::RequestAdmitted, call.id,
                            "account=" + call.account.text() + " target=" + call.target);
    if (!call.isIdempotent && !call.idempotencyKey.empty())
        return runAtMostOnce(call, res);
    forward(call, res, mark);
}

void CallerApi::runAtMostOnce(const ParsedRequest &call, httplib::Response &res)
{
    const AttemptId attempt = m_forwarder.newAttemptId();
    const auto agent = m_forwarder.chooseAgent(call);
    const auto claimed = m_idempotency.claim(call, attempt, agent);
    if (const auto *refusal = std::get_if<Refusal>(&claimed))
        return writeRefusal(*refusal, res);
    if (const auto *response = std::get_if<StoredResponse>(&claimed)) {
        res.set_header("Quetzalyoke-Replayed", "yes");
        return writeStored(*response, res);
    }
    const auto &claim = std::get<IdempotencyStore::Claim>(claimed);
    const auto result = m_forwarder.openResponseStream(call, attempt, agent);
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        m_idempotency.recordRefused(claim, refusal->runState);
        return writeRefusal(*refusal, res);
    }
    const auto whole = readWhole(*std::get<0>(result), call, res);
    if (!whole)
        return m_idempotency.recordRefused(claim, RunState::Unknown);
    // Kept before it is handed over, so that a repeat finds it whatever happens to this one.
    m_idempotency.recordCompleted(claim, whole->response);
    chargeAndWrite(call, *whole, res);
}

void CallerApi::forward(const ParsedRequest &call, httplib::Response &res,
                        const InFlightGuardPtr &mark)
{
    auto result = m_forwarder.openResponseStream(call);
    if (const auto *refusal = std::get_if<Refusal>(&result))
        return writeRefusal(*refusal, res);
    auto response = std::move(std::get<0>(result));
    httplib::Response head;
    const std::string type = writeStatusAndHeaders(*response, head);
    if (!isStreamed(type)) {
        const auto whole = readWhole(*response, call, res);
        if (whole)
            chargeAndWrite(call, *whole, res);
        return;
    }
    res.status = head.status;
    for (const auto &[name, value] : head.headers)
        res.set_header(name, value);
    const auto stream = std::make_shared<PacedStream>(std::move(response), call, m_limits);
    res.set_chunked_content_provider(
        type, [stream, mark](size_t, httplib::DataSink &sink) { return stream->writeNext(sink); });
}

std::optional<CallerApi::WholeResponse>
CallerApi::readWhole(ResponseStream &response, const ParsedRequest &call, httplib::Response &res)
{
    WholeResponse whole{headOf(response),
                        call.targetsModel ? call.estimate.prompt : call.estimate.responseLimit};
    auto status = ResponseStream::Result::NoData;
    while (status == ResponseStream::Result::NoData || status == ResponseStream::Result::Data)
        status = response.read(whole.response.body, whole.tokens);
    if (status == ResponseStream::Result::End)
        return whole;
    writeRefusal(response.refusal(), res);
    return std::nullopt;
}

void CallerApi::chargeAndWrite(const ParsedRequest &call, const WholeResponse &whole,
                               httplib::Response &res)
{
    if (!call.account.isEmpty() && !waitAndCharge(m_limits, call.account, whole.tokens)) {
        return writeRefusal({statusTooManyRequests,
                             "answer_exceeds_burst",
                             "the answer has more tokens than the account's burst; ask for fewer, "
                             "or stream it",
                             RunState::Partial,
                             {}},
                            res);
    }
    Metrics::incrementCounter("completed_total");
    ProcessTimeline::record(TimelineEventKind::RequestCompleted, call.id);
    writeStored(whole.response, res);
}

} // namespace quetzalyoke
