#include "Apps/Gateway/CallerApi.h"

#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
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

void writeStored(const StoredAnswer &answer, httplib::Response &res)
{
    std::string type = "application/octet-stream";
    res.status = answer.status;
    for (const auto &[name, value] : answer.headers) {
        if (strcasecmp(name.c_str(), "Content-Type") == 0)
            type = value;
        else
            res.set_header(name, value);
    }
    res.set_content(answer.body, type);
}

StoredAnswer headOf(const AnswerStream &answer)
{
    StoredAnswer stored;
    stored.status = answer.status();
    for (const wire::Header &it : answer.headers())
        stored.headers.emplace_back(it.name, it.value);
    return stored;
}

} // namespace

// Counts a request as in flight for as long as it lives.
class CallerApi::InFlight
{
public:
    explicit InFlight(std::atomic<int> &count) : m_count(count) { ++m_count; }
    ~InFlight() { --m_count; }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

private:
    std::atomic<int> &m_count;
};

CallerApi::CallerApi(const GatewaySettings &settings, const SharedState &state, Relay &relay,
                     AccountLimits &limits, IdempotencyStore &idempotency)
    : m_state(state), m_authenticator(state), m_reader(settings), m_relay(relay), m_limits(limits),
      m_idempotency(idempotency)
{ }

void CallerApi::addRoutes(httplib::Server &server)
{
    server.Get("/v1/models", admitted(&CallerApi::listModels));
    server.Post("/v1/chat/completions", admitted(&CallerApi::complete));
    server.Post("/v1/completions", admitted(&CallerApi::complete));
    const auto service = admitted(&CallerApi::callService);
    server.Get("/services/.*", service);
    server.Post("/services/.*", service);
    server.Put("/services/.*", service);
    server.Patch("/services/.*", service);
    server.Delete("/services/.*", service);
    server.Options("/services/.*", service);
}

httplib::Server::Handler CallerApi::admitted(Handler handler)
{
    return [this, handler](const httplib::Request &req, httplib::Response &res) {
        const auto mark = std::make_shared<InFlight>(m_inFlight);
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
    if (configuration->list.isOpen(req.method, req.path))
        return AccountId();
    auto result = m_authenticator.authenticate(RequestReader::presentedKey(req), Process::now());
    const auto *account = std::get_if<AccountId>(&result);
    if (account && !configuration->list.accounts.contains(*account)) {
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
                           const InFlightMark &)
{
    Json data = Json::array();
    for (const auto &[name, it] : configuration.list.models)
        data.push_back({{"id", name.text()}, {"object", "model"}});
    for (const auto &[name, it] : configuration.list.adapters)
        data.push_back({{"id", name.text()}, {"object", "model"}, {"parent", it.base.text()}});
    res.set_content(Json{{"object", "list"}, {"data", data}}.dump(), "application/json");
}

void CallerApi::complete(const httplib::Request &req, httplib::Response &res,
                         const Configuration &configuration, const AccountId &account,
                         const InFlightMark &mark)
{
    run(m_reader.readCompletion(req, configuration.list, account), res, mark);
}

void CallerApi::callService(const httplib::Request &req, httplib::Response &res,
                            const Configuration &configuration, const AccountId &account,
                            const InFlightMark &mark)
{
    run(m_reader.readServiceCall(req, configuration.list, account), res, mark);
}

void CallerApi::run(const RequestReader::Result &request, httplib::Response &res,
                    const InFlightMark &mark)
{
    if (const auto *refusal = std::get_if<Refusal>(&request))
        return writeRefusal(*refusal, res);
    const Call &call = std::get<Call>(request);
    res.set_header("X-Request-Id", call.id.text());
    if (!call.account.isEmpty()) {
        const auto refusal = m_limits.admit(call.account, call.estimate, Process::now());
        if (refusal)
            return writeRefusal(*refusal, res);
    }
    EventLog::record(EventKind::RequestAdmitted, call.id,
                     "account=" + call.account.text() + " target=" + call.target);
    if (!call.idempotent && !call.idempotencyKey.empty())
        return runOnce(call, res);
    relay(call, res, mark);
}

void CallerApi::runOnce(const Call &call, httplib::Response &res)
{
    const AttemptId attempt = m_relay.newAttemptId();
    const auto agent = m_relay.choose(call);
    const auto claimed = m_idempotency.claim(call, attempt, agent);
    if (const auto *refusal = std::get_if<Refusal>(&claimed))
        return writeRefusal(*refusal, res);
    if (const auto *answer = std::get_if<StoredAnswer>(&claimed)) {
        res.set_header("Quetzalyoke-Replayed", "yes");
        return writeStored(*answer, res);
    }
    const auto &claim = std::get<IdempotencyStore::Claim>(claimed);
    const auto result = m_relay.open(call, attempt, agent);
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        m_idempotency.refuse(claim, refusal->runState);
        return writeRefusal(*refusal, res);
    }
    const auto whole = readWhole(*std::get<0>(result), call, res);
    if (!whole)
        return m_idempotency.refuse(claim, RunState::Unknown);
    // Kept before it is handed over, so that a repeat finds it whatever happens to this one.
    m_idempotency.complete(claim, whole->answer);
    handOver(call, *whole, res);
}

void CallerApi::relay(const Call &call, httplib::Response &res, const InFlightMark &mark)
{
    auto result = m_relay.open(call);
    if (const auto *refusal = std::get_if<Refusal>(&result))
        return writeRefusal(*refusal, res);
    auto answer = std::move(std::get<0>(result));
    httplib::Response head;
    const std::string type = writeHead(*answer, head);
    if (!isStreamed(type)) {
        const auto whole = readWhole(*answer, call, res);
        if (whole)
            handOver(call, *whole, res);
        return;
    }
    res.status = head.status;
    for (const auto &[name, value] : head.headers)
        res.set_header(name, value);
    const auto stream = std::make_shared<PacedStream>(std::move(answer), call, m_limits);
    res.set_chunked_content_provider(
        type, [stream, mark](size_t, httplib::DataSink &sink) { return stream->writeNext(sink); });
}

std::optional<CallerApi::WholeAnswer> CallerApi::readWhole(AnswerStream &answer, const Call &call,
                                                           httplib::Response &res)
{
    WholeAnswer whole{headOf(answer),
                      call.model ? call.estimate.prompt : call.estimate.answerLimit};
    auto status = AnswerStream::Result::Nothing;
    while (status == AnswerStream::Result::Nothing || status == AnswerStream::Result::Data)
        status = answer.read(whole.answer.body, whole.tokens);
    if (status == AnswerStream::Result::End)
        return whole;
    writeRefusal(answer.refusal(), res);
    return std::nullopt;
}

void CallerApi::handOver(const Call &call, const WholeAnswer &whole, httplib::Response &res)
{
    if (!call.account.isEmpty() && !chargeWhole(m_limits, call.account, whole.tokens)) {
        return writeRefusal({statusTooManyRequests,
                             "answer_exceeds_burst",
                             "the answer has more tokens than the account's burst; ask for fewer, "
                             "or stream it",
                             RunState::Partial,
                             {}},
                            res);
    }
    Metrics::count("completed_total");
    EventLog::record(EventKind::RequestCompleted, call.id);
    writeStored(whole.answer, res);
}

} // namespace quetzalyoke
