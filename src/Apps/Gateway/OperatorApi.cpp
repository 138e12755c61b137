#include "Apps/Gateway/OperatorApi.h"

#include "Adapters/Crypto.h"
#include "Apps/Gateway/Authenticator.h"
#include "Core/Error.h"
#include "Core/ServiceListCheck.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

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
    case ErrorKind::NotAuthenticated:
        return 401;
    case ErrorKind::BadSettings:
        return 422;
    default:
        return 500;
    }
}

} // namespace

OperatorApi::OperatorApi(const GatewaySettings &settings, HttpPlatform &platform,
                         SharedState &state, StateSync &sync, Fleet &fleet, ChangeGate &gate)
    : m_settings(settings), m_platform(platform), m_state(state), m_sync(sync), m_fleet(fleet),
      m_gate(gate)
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
    m_gate.requireMayAccept();
    const Version seen(std::stoll("0" + req.get_param_value("seen")));
    const std::string file = req.has_param("file") ? req.get_param_value("file") : "service list";
    const CheckedServiceList checked = ServiceListCheck::read(req.body, file);
    if (!checked.problems.empty())
        throw Error(ErrorKind::BadSettings, describe(checked.problems));
    const ConfigurationPointer pointer{"configuration-" + sha256Hex(req.body), "operator"};
    m_platform.put(pointer.object, req.body);
    const auto version
        = m_platform.commit({{StateCache::configurationKey, pointer.toJson(), seen}});
    if (!version) {
        throw Error(ErrorKind::Conflict,
                    "the configuration changed since version " + std::to_string(seen.count())
                        + "; look at it again (quetzalyokectl show) and repeat your change");
    }
    m_sync.refresh();
    m_gate.waitUntilInForce(*version);
    LOG(INFO) << "event=configuration_applied version=" << version->count();
    answer(res, 200, {{"version", version->count()}});
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
    m_gate.requireMayAccept();
    const AccountId account(req.get_param_value("account"));
    const auto configuration = m_state.configuration();
    if (!configuration || !configuration->list.accounts.contains(account)) {
        throw Error(ErrorKind::BadSettings,
                    "no account named \"" + account.text()
                        + "\" is listed; apply a service list with it");
    }
    const GrantedKey key = makeKey(account);
    m_platform.commit({{StateCache::keyRowName(key.record.id), key.record.toJson(), Version(0)}});
    m_sync.refresh();
    answer(res, 200, {{"id", key.record.id.text()}, {"key", key.text}});
}

void OperatorApi::withdrawKey(const httplib::Request &req, httplib::Response &res)
{
    m_gate.requireMayAccept();
    const KeyId id(req.matches[1]);
    const auto row = m_platform.read(StateCache::keyRowName(id));
    if (!row)
        return answer(res, 404,
                      {{"error", "no key " + id.text() + "; see quetzalyokectl key list"}});
    KeyRecord record = KeyRecord::fromJson(row->value);
    record.withdrawn = true;
    const auto version = m_platform.commit({{row->key, record.toJson(), row->version}});
    if (!version) {
        throw Error(ErrorKind::Conflict,
                    "key " + id.text() + " was changed at the same time; withdraw it again");
    }
    m_sync.refresh();
    m_gate.waitUntilInForce(*version);
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

} // namespace quetzalyoke
