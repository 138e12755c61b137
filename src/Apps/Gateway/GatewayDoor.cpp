#include "Apps/Gateway/GatewayDoor.h"

#include "Adapters/EventLog.h"
#include "Adapters/WireConversion.h"

namespace quetzalyoke {

namespace {

class DoorFactory : public wire::GatewayIfFactory
{
public:
    DoorFactory(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                CrashWatch &crashes, Planner &planner, PeerExchange &peers)
        : m_settings(settings), m_state(state), m_fleet(fleet), m_crashes(crashes),
          m_planner(planner), m_peers(peers)
    { }

    wire::GatewayIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new GatewayDoor(m_settings, m_state, m_fleet, m_crashes, m_planner, m_peers);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    const GatewaySettings &m_settings;
    SharedState &m_state;
    Fleet &m_fleet;
    CrashWatch &m_crashes;
    Planner &m_planner;
    PeerExchange &m_peers;
};

} // namespace

GatewayDoor::GatewayDoor(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                         CrashWatch &crashes, Planner &planner, PeerExchange &peers)
    : m_state(state), m_fleet(fleet), m_crashes(crashes), m_planner(planner), m_peers(peers),
      m_guard(settings.fleetSecret)
{ }

void GatewayDoor::challenge(std::string &nonce)
{
    nonce = m_guard.challenge();
}

bool GatewayDoor::authenticate(const std::string &proof)
{
    return m_guard.authenticate(proof);
}

void GatewayDoor::events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                         std::int32_t limit)
{
    m_guard.require();
    EventLog::events(events, requestId, limit);
}

void GatewayDoor::report(wire::ReportReply &reply, const wire::AgentReport &report)
{
    m_guard.require();
    EventLog::observe(report.clock);
    AgentStatus status = fromWire(report);
    const auto configuration = m_state.configuration();
    if (configuration) {
        const auto server = configuration->list.servers.find(status.server);
        if (server != configuration->list.servers.end() && !status.engine)
            status.ready.insert(server->second.service.text());
        reply.configurationVersion = configuration->version.count();
        m_planner.answer(reply, report, *configuration);
    }
    m_fleet.update(status);
    reply.clock = EventLog::stamp();
    m_crashes.add(report.suspicions, report.instance);
}

void GatewayDoor::exchange(wire::PeerDigest &answer, const wire::PeerDigest &digest)
{
    m_guard.require();
    EventLog::observe(digest.clock);
    answer = toWire(m_peers.answer(fromWire(digest)));
    answer.clock = EventLog::stamp();
    m_crashes.add(digest.suspicions);
    answer.suspicions = m_crashes.suspicions();
}

void GatewayDoor::stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion)
{
    m_guard.require();
    rows = toWire(m_state.rowsAfter(Version(sinceVersion)));
}

void GatewayDoor::configurationText(std::string &text, std::int64_t version)
{
    m_guard.require();
    const auto configuration = m_state.configuration();
    if (configuration && configuration->version == Version(version))
        text = configuration->text;
}

std::int64_t GatewayDoor::spendShare(const std::string &account, std::int64_t tokens)
{
    m_guard.require();
    return m_peers.lend(AccountId(account), Tokens(tokens)).count();
}

std::shared_ptr<apache::thrift::TProcessorFactory>
makeGatewayDoorFactory(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                       CrashWatch &crashes, Planner &planner, PeerExchange &peers)
{
    return std::make_shared<wire::GatewayProcessorFactory>(
        std::make_shared<DoorFactory>(settings, state, fleet, crashes, planner, peers));
}

} // namespace quetzalyoke
