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

void answer(httplib::Response &res, int status, const Json &body)
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

OperatorApi::OperatorApi(const GatewaySettings &settings, HttpPlatform &platform,
                         SharedState &state, StateSync &sync, Fleet &fleet, ChangeGate &gate,
                         const TimelineCollector &timeline)
    : m_settings(settings), m_state(state), m_sync(sync), m_fleet(fleet),
      m_changes(platform, state, sync, gate), m_timeline(timeline)
{ }

void OperatorApi::addRoutes(httplib::Server &server)
{
    const auto bind = [this](void (OperatorApi::*method)(const httplib::Request &,
                                                         httplib::Response &)) {
        return guarded([this, method](const auto &req, auto &res) { (this->*method)(req, res); });
    };
    server.Get("/operator/configuration", bind(&OperatorApi::showConfiguration));
    server.Put("/operator/configuration", bind(&OperatorApi::applyConfiguration));
    server.Get("/operator/keys", bind(&OperatorApi::listKeys));
    server.Post("/operator/keys", bind(&OperatorApi::grantKey));
    server.Delete("/operator/keys/([0-9a-f]+)", bind(&OperatorApi::withdrawKey));
    server.Get("/operator/status", bind(&OperatorApi::status));
    server.Get("/operator/timeline", bind(&OperatorApi::timeline));
}

OperatorApi::Handler OperatorApi::guarded(Handler handler)
{
    return [this, handler = std::move(handler)](const auto &req, auto &res) {
        const std::string expected = "Bearer " + m_settings.operatorSecret;
        if (!equalInConstantTime(req.get_header_value("Authorization"), expected)) {
            return answer(res, 401,
                          {{"error", "wrong operator credential; check operator_secret_file"}});
        }
        try {
            handler(req, res);
        } catch (const Error &e) {
            answer(res, statusFor(e.kind()), {{"error", e.what()}});
        } catch (const std::exception &e) {
            answer(res, 500, {{"error", std::string("internal error: ") + e.what()}});
        }
    };
}

void OperatorApi::showConfiguration(const httplib::Request &, httplib::Response &res)
{
    m_sync.refresh();
    const auto configuration = m_state.configuration();
    if (!configuration)
        return answer(res, 200, {{"version", 0}, {"text", ""}});
    answer(res, 200, {{"version", configuration->version.count()}, {"text", configuration->text}});
}

void OperatorApi::applyConfiguration(const httplib::Request &req, httplib::Response &res)
{
    const std::string file = req.has_param("file") ? req.get_param_value("file") : "service list";
    const Version seen(
        numberParameter(req, "seen", "give the version that you saw, 0 where there is none"));
    const Version version = m_changes.applyConfiguration(req.body, seen, file);
    answer(res, 200, {{"version", version.count()}});
}

void OperatorApi::listKeys(const httplib::Request &, httplib::Response &res)
{
    m_sync.refresh();
    Json keys = Json::array();
    for (const KeyRecord &it : m_state.keys()) {
        keys.push_back(
            {{"id", it.id.text()}, {"account", it.account.text()}, {"withdrawn", it.withdrawn}});
    }
    answer(res, 200, {{"keys", keys}});
}

void OperatorApi::grantKey(const httplib::Request &req, httplib::Response &res)
{
    const GrantedKey key = m_changes.grantKey(AccountId(req.get_param_value("account")));
    answer(res, 200, {{"id", key.record.id.text()}, {"key", key.text}});
}

void OperatorApi::withdrawKey(const httplib::Request &req, httplib::Response &res)
{
    const KeyId id(req.matches[1]);
    m_changes.withdrawKey(id);
    answer(res, 200, {{"id", id.text()}, {"withdrawn", true}});
}

void OperatorApi::status(const httplib::Request &, httplib::Response &res)
{
    Json agents = Json::array();
    for (const auto &it : m_fleet.all()) {
        agents.push_back({{"instance", it.status.instance.text()},
                          {"server", it.status.server.text()},
                          {"zone", it.status.zone.text()},
                          {"ready", it.status.ready},
                          {"queued", it.status.queued},
                          {"running", it.status.running},
                          {"draining", it.status.draining}});
    }
    const auto configuration = m_state.configuration();
    answer(res, 200,
           {{"instance", m_settings.instance.text()},
            {"configuration_version", configuration ? configuration->version.count() : 0},
            {"agents", agents}});
}

void OperatorApi::timeline(const httplib::Request &req, httplib::Response &res)
{
    const std::int64_t limit = numberParameter(req, "limit", "give the most events of a process");
    const auto collection
        = m_timeline.collect(RequestId(req.get_param_value("request")),
                             static_cast<std::size_t>(std::min(limit, maximumEvents)));
    Json events = Json::array();
    for (const Event &it : collection.events)
        events.push_back(toJson(it));
    Json missing = Json::array();
    for (const auto &it : collection.missing)
        missing.push_back({{"address", it.address}, {"reason", it.reason}});
    answer(res, 200, {{"events", events}, {"missing", missing}});
}

} // namespace quetzalyoke
