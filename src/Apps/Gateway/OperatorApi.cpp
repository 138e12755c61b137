#include "Apps/Gateway/OperatorApi.h"

#include "Adapters/Crypto.h"
#include "Adapters/EventJson.h"
#include "Core/Error.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maxEventsPerProcess = 10'000;

void writeJson(httplib::Response &res, int status, const Json &body)
{
    res.status = status;
    res.set_content(dumpJson(body), "application/json");
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

// Throws Error (BadSettings) if \a name is missing or not a whole number from 0.
std::int64_t requireNumber(const httplib::Request &req, const std::string &name,
                           const std::string &remedy)
{
    const std::string text = req.get_param_value(name);
    std::int64_t n = 0;
    const char *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || last != end || n < 0)
        throw Error(ErrorKind::BadSettings, name + " is missing or not a whole number; " + remedy);
    return n;
}

} // namespace

OperatorApi::OperatorApi(const GatewaySettings &settings, HttpPlatformClient &platform,
                         GatewayState &state, StatePoller &statePoller,
                         AgentRegistry &agentRegistry, ChangeGate &changeGate,
                         const TimelineCollector &timeline)
    : m_settings(settings), m_state(state), m_statePoller(statePoller),
      m_agentRegistry(agentRegistry), m_changes(platform, state, statePoller, changeGate),
      m_timeline(timeline)
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
            return writeJson(res, 401,
                             {{"error", "wrong operator credential; check operator_secret_file"}});
        }
        try {
            handler(req, res);
        } catch (const Error &e) {
            writeJson(res, statusFor(e.kind()), {{"error", e.what()}});
        } catch (const std::exception &e) {
            writeJson(res, 500, {{"error", std::string("internal error: ") + e.what()}});
        }
    };
}

void OperatorApi::showConfiguration(const httplib::Request &, httplib::Response &res)
{
    m_statePoller.refresh();
    const auto configuration = m_state.configuration();
    if (!configuration)
        return writeJson(res, 200, {{"version", 0}, {"text", ""}});
    writeJson(res, 200,
              {{"version", configuration->version.count()}, {"text", configuration->text}});
}

void OperatorApi::applyConfiguration(const httplib::Request &req, httplib::Response &res)
{
    const std::string file = req.has_param("file") ? req.get_param_value("file") : "service list";
    const Version seenVersion(
        requireNumber(req, "seen", "give the version that you saw, or 0 if there is none"));
    const Version version = m_changes.applyConfiguration(req.body, seenVersion, file);
    writeJson(res, 200, {{"version", version.count()}});
}

void OperatorApi::listKeys(const httplib::Request &, httplib::Response &res)
{
    m_statePoller.refresh();
    Json keys = Json::array();
    for (const ApiKeyRow &it : m_state.keys()) {
        keys.push_back(
            {{"id", it.id.text()}, {"account", it.account.text()}, {"withdrawn", it.withdrawn}});
    }
    writeJson(res, 200, {{"keys", keys}});
}

void OperatorApi::grantKey(const httplib::Request &req, httplib::Response &res)
{
    const GrantedKey key = m_changes.grantKey(AccountId(req.get_param_value("account")));
    writeJson(res, 200, {{"id", key.record.id.text()}, {"key", key.text}});
}

void OperatorApi::withdrawKey(const httplib::Request &req, httplib::Response &res)
{
    const ApiKeyId id(req.matches[1]);
    m_changes.withdrawKey(id);
    writeJson(res, 200, {{"id", id.text()}, {"withdrawn", true}});
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
    writeJson(res, 200,
              {{"instance", m_settings.instance.text()},
               {"configuration_version", configuration ? configuration->version.count() : 0},
               {"agents", agents}});
}

void OperatorApi::showTimeline(const httplib::Request &req, httplib::Response &res)
{
    const std::int64_t limit
        = requireNumber(req, "limit", "give the maximum number of events of a process");
    const auto collection
        = m_timeline.collect(RequestId(req.get_param_value("request")),
                             static_cast<std::size_t>(std::min(limit, maxEventsPerProcess)));
    Json events = Json::array();
    for (const TimelineEvent &it : collection.events)
        events.push_back(toJson(it));
    Json missing = Json::array();
    for (const auto &it : collection.missing)
        missing.push_back({{"address", it.address}, {"reason", it.reason}});
    writeJson(res, 200, {{"events", events}, {"missing", missing}});
}

} // namespace quetzalyoke
