#include "PlatformEngineStandIn.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace quetzalyoke::soak {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds runTime{8};
constexpr std::chrono::milliseconds eventGap{6};

std::string text(const CallerRequest &request, const char *name)
{
    return std::string(request.fields[name]);
}

} // namespace

PlatformEngineStandIn::PlatformEngineStandIn(asio::io_context &loop, PlatformStoreStandIn &store,
                                             SoakChecks &checks, const Settings &settings,
                                             std::vector<std::string> models)
    : m_loop(loop), m_store(store), m_checks(checks), m_settings(settings),
      m_firstModels(std::move(models))
{
    for (const std::string &model : m_firstModels)
        m_holdings[model];
    listen();
}

void PlatformEngineStandIn::listen()
{
    m_server = std::make_unique<CallerServer>(
        m_loop, 256,
        CallerServer::Hooks{[this](const CallerSession::Pointer &session, CallerRequest &&request) {
                                take(session, std::move(request));
                            },
                            [] { return SessionLimits(); }, [] { return false; },
                            [](int, const char *) {}});
    m_server->listen({"127.0.0.1", 0});
}

void PlatformEngineStandIn::enter(const Address &advertised)
{
    m_advertised = advertised;
    writeEntry();
}

void PlatformEngineStandIn::writeEntry()
{
    Json json{{"service", m_settings.service},
              {"address", m_advertised.text()},
              {"zone", "east"},
              {"version", "v1"},
              {"slots", m_settings.isModelEngine ? 64 : 6},
              {"state", m_isLeaving ? "draining" : "ready"},
              {"seq", 1},
              {"born", m_born}};
    json["models"] = Json::array();
    for (const auto &[model, adapters] : m_holdings)
        json["models"].push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    m_store.put("servers", m_settings.id, json.dump());
}

void PlatformEngineStandIn::crash()
{
    m_isUp = false;
    ++m_life;
    m_running = 0;
    for (const CallerSession::Pointer &session : std::exchange(m_sessions, {}))
        session->abort();
    m_server->stopListening();
    m_ended.push_back(std::move(m_server));
}

void PlatformEngineStandIn::restart()
{
    ++m_born;
    m_holdings.clear();
    m_orders = 0;
    m_isBusy = false;
    m_isLeaving = false;
    m_isUp = true;
    m_checks.onEngineStarted(m_settings.id);
    listen();
    writeEntry();
}

void PlatformEngineStandIn::beginLeaving()
{
    m_isLeaving = true;
    m_checks.onLeaving(m_settings.id);
    writeEntry();
}

void PlatformEngineStandIn::leave()
{
    m_store.remove("servers", m_settings.id);
    crash();
}

void PlatformEngineStandIn::after(std::chrono::milliseconds time, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, time);
    timer->async_wait([timer, action = std::move(action)](const SystemError &) { action(); });
}

std::string PlatformEngineStandIn::head(const std::string &id) const
{
    return "Attempt-Id: " + id + "\r\nResponse-Stamp: " + m_settings.id
        + "\r\nKeep-Alive: timeout=5\r\nServer-Load: " + std::to_string(m_running) + ",0,64\r\n";
}

std::string PlatformEngineStandIn::report() const
{
    Json json{{"busy", m_isBusy}, {"seq", m_orders}, {"running", m_running}, {"waiting", 0}};
    json["models"] = Json::array();
    for (const auto &[model, adapters] : m_holdings)
        json["models"].push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    return json.dump();
}

void PlatformEngineStandIn::take(const CallerSession::Pointer &session, CallerRequest &&request)
{
    m_sessions.push_back(session);
    std::erase_if(m_sessions, [](const auto &known) { return !known->isHandling(); });
    if (request.target == "/report") {
        session->answer(200, "", report());
        return;
    }
    const std::string target = text(request, "Target-Instance");
    if (!target.empty() && target != m_settings.id) {
        session->answer(421, "", "");
        return;
    }
    if (request.target == "/order") {
        takeOrder(session, request);
        return;
    }
    const std::string id = text(request, "Attempt-Id");
    const std::string model = text(request, "Model");
    const auto slash = model.find('/');
    const auto held = m_holdings.find(model.substr(0, slash));
    const bool isMissing = m_settings.isModelEngine
        && (held == m_holdings.end()
            || (slash != std::string::npos && held->second.count(model.substr(slash + 1)) == 0));
    if (isMissing) {
        session->answer(421, "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
        return;
    }
    run(session, request);
}

void PlatformEngineStandIn::takeOrder(const CallerSession::Pointer &session,
                                      const CallerRequest &request)
{
    const Json json = Json::parse(request.body);
    m_checks.onOrder(m_settings.id, json["holder"], json["fencing_token"]);
    if (m_isBusy || json["expected_rev"].get<std::int64_t>() != m_orders) {
        session->answer(409, "", "");
        return;
    }
    ++m_orders;
    const std::string model = json["model"];
    const bool isLoad = json["operation"] == "load";
    if (json.contains("adapter")) {
        if (isLoad)
            m_holdings[model].insert(json["adapter"].get<std::string>());
        else
            m_holdings[model].erase(json["adapter"].get<std::string>());
        std::size_t adapters = 0;
        for (const auto &[name, held] : m_holdings)
            adapters += held.size();
        m_checks.onMemory(m_settings.id, m_holdings.size(), m_settings.modelSlots, adapters,
                          m_settings.adapterSlots);
        writeEntry();
    } else if (isLoad) {
        m_isBusy = true;
        m_checks.onLoad();
        m_checks.onMemory(m_settings.id, m_holdings.size() + 1, m_settings.modelSlots, 0,
                          m_settings.adapterSlots);
        after(m_settings.loadTime, [this, model, life = m_life] {
            if (life != m_life)
                return;
            m_isBusy = false;
            m_holdings[model];
            writeEntry();
        });
    } else {
        m_holdings.erase(model);
        writeEntry();
    }
    if (!m_isLosingOrderAnswers)
        session->answer(202, "", "");
}

void PlatformEngineStandIn::run(const CallerSession::Pointer &session, const CallerRequest &request)
{
    const std::string id = text(request, "Attempt-Id");
    m_checks.onRun(m_settings.id, id, text(request, "Tenant"), text(request, "Api-Key"),
                   request.body);
    ++m_running;
    session->setLeaveHook([this, life = m_life] {
        if (life == m_life)
            --m_running;
    });
    if (m_isSilent)
        return;
    // A resumed stream goes on after the last event that its caller has.
    const int firstEvent = 1 + std::atoi(text(request, "Last-Event-Id").c_str());
    after(runTime, [this, session, id, firstEvent, life = m_life] {
        if (life != m_life)
            return;
        if (m_settings.isModelEngine) {
            session->beginStream(200, head(id));
            streamEvent(session, id, firstEvent, life);
            return;
        }
        --m_running;
        session->answer(200, head(id), SoakChecks::expectedBody(id, false));
    });
}

void PlatformEngineStandIn::streamEvent(const CallerSession::Pointer &session,
                                        const std::string &id, int event, int life)
{
    if (life != m_life)
        return;
    session->writeStream(SoakChecks::eventText(id, event));
    if (event == SoakChecks::eventsOfAStream) {
        --m_running;
        session->endStream();
        return;
    }
    after(eventGap,
          [this, session, id, event, life] { streamEvent(session, id, event + 1, life); });
}

} // namespace quetzalyoke::soak
