#include "Apps/Gateway/OperatorApi.h"

#include "Adapters/Crypto.h"
#include "Adapters/EventJson.h"
#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maximumEvents = 10'000; // of one process

void response(httplib::Response &res, int status, const Json &body)
{
    res.status = status;
    res.set_content(body.dump(), "application/json");
}

int statusFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::PlatformUnavailable:
        return 503;
    case ErrorKind::OutcomeUnknown:
        return 504;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::NotAuthenticated:
        return 401;
    case ErrorKind::BadSettings:
        return 422;
    default:
        return 500;
    }
}

// Throws Error (BadSettings) where \a name is missing or not a whole number.
std::int64_t numberParameter(const httplib::Request &req, const std::string &name,
                             const std::string &remedy)
{
    const std::string text = req.get_param_value(name);
    std::int64_t n = 0;
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || last != end || n < 0)
        throw Error(ErrorKind::BadSettings, name + " is missing or no whole number; " + remedy);
    return n;
}

} // namespace

OperatorApi::OperatorApi(const GatewaySettings &settings, HttpPlatformClient &platform,
                         GatewayState &state, StatePoller &sync, AgentRegistry &fleet,
                         ChangeGate &gate, const TimelineCollector &timeline)
    : m_settings(settings), m_state(state), m_statePoller(sync), m_agentRegistry(fleet),
      m_changes(platform, state, sync, gate), m_timeline(timeline)
{ }

void OperatorApi::addRoutes(httplib::Server &server)
{
    const auto bind
        = [this](void (OperatorApi::*method)(const httplib::Request &, httplib::Response &)) {
              return withAuthentication(
                  [this, method](const auto &req, auto &res) { (this->*method)(req, res); });
          };
    server.Get("/operator/configuration", bind(&OperatorApi::showConfiguration));
    server.Put("/operator/configuration", bind(&OperatorApi::applyConfiguration));
    server.Get("/operator/keys", bind(&OperatorApi::listKeys));
    server.Post("/operator/keys", bind(&OperatorApi::grantKey));
    server.Delete("/operator/keys/([0-9a-f]+)", bind(&OperatorApi::withdrawKey));
    server.Get("/operator/status", bind(&OperatorApi::showStatus));
    server.Get("/operator/timeline", bind(&OperatorApi::showTimeline));
}

OperatorApi::Handler OperatorApi::withAuthentication(Handler handler)
{
    return [this, handler = std::move(handler)](const auto &req, auto &res) {
        const std::string expected = "Bearer " + m_settings.operatorSecret;
        if (!equalInConstantTime(req.get_header_value("Authorization"), expected)) {
            return response(res, 401,
                            {{"error", "wrong operator credential; check operator_secret_file"}});
        }
        try {
            handler(req, res);
        } catch (const Error &e) {
            response(res, statusFor(e.kind()), {{"error", e.what()}});
        } catch (const std::exception &e) {
            response(res, 500, {{"error", std::string("internal error: ") + e.what()}});
        }
    };
}

void OperatorApi::showConfiguration(const httplib::Request &, httplib::Response &res)
{
    m_statePoller.refresh();
    const auto configuration = m_state.configuration();
    if (!configuration)
        return response(res, 200, {{"version", 0}, {"text", ""}});
    response(res, 200,
             {{"version", configuration->version.count()}, {"text", configuration->text}});
}

void OperatorApi::applyConfiguration(const httplib::Request &req, httplib::Response &res)
{
    const std::string file = req.has_param("file") ? req.get_param_value("file") : "service list";
    const Version seen(
        numberParameter(req, "seen", "give the version that you saw, 0 where there is none"));
    const Version version = m_changes.applyConfiguration(req.body, seen, file);
    response(res, 200, {{"version", version.count()}});
}

void OperatorApi::listKeys(const httplib::Request &, httplib::Response &res)
{
    m_statePoller.refresh();
    Json keys = Json::array();
    for (const ApiKeyRow &it : m_state.keys()) {
        keys.push_back(
            {{"id", it.id.text()}, {"account", it.account.text()}, {"withdrawn", it.withdrawn}});
    }
    response(res, 200, {{"keys", keys}});
}

void OperatorApi::grantKey(const httplib::Request &req, httplib::Response &res)
{
    const GrantedKey key = m_changes.grantKey(AccountId(req.get_param_value("account")));
    response(res, 200, {{"id", key.record.id.text()}, {"key", key.text}});
}

void OperatorApi::withdrawKey(const httplib::Request &req, httplib::Response &res)
{
    const ApiKeyId id(req.matches[1]);
    m_changes.withdrawKey(id);
    response(res, 200, {{"id", id.text()}, {"withdrawn", true}});
}

void OperatorApi::showStatus(const httplib::Request &, httplib::Response &res)
{
    Json agents = Json::array();
    for (const auto &it : m_agentRegistry.allAgents()) {
        agents.push_back({{"instance", it.status.instance.text()},
                          {"server", it.status.server.text()},
                          {"zone", it.status.zone.text()},
                          {"ready", it.status.availableTargets},
                          {"queued", it.status.queued},
                          {"running", it.status.running},
                          {"draining", it.status.draining}});
    }
    const auto configuration = m_state.configuration();
    response(res, 200,
             {{"instance", m_settings.instance.text()},
              {"configuration_version", configuration ? configuration->version.count() : 0},
              {"agents", agents}});
}

void OperatorApi::showTimeline(const httplib::Request &req, httplib::Response &res)
{
    const std::int64_t limit = numberParameter(req, "limit", "give the most events of a process");
    const auto collection
        = m_timeline.collect(RequestId(req.get_param_value("request")),
                             static_cast<std::size_t>(std::min(limit, maximumEvents)));
    Json events = Json::array();
    for (const TimelineEvent &it : collection.events)
        events.push_back(toJson(it));
    Json missing = Json::array();
    for (const auto &it : collection.missing)
        missing.push_back({{"address", it.address}, {"reason", it.reason}});
    response(res, 200, {{"events", events}, {"missing", missing}});
}

} // namespace quetzalyoke
