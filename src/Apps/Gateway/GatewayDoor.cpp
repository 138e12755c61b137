#include "Apps/Gateway/GatewayDoor.h"

#include "Adapters/WireConversion.h"

namespace quetzalyoke {

namespace {

std::vector<wire::ModelState> wantedFor(const Configuration &configuration,
                                        const ServerName &server)
{
    std::vector<wire::ModelState> wanted;
    const auto it = configuration.plan.holdings.find(server);
    if (it == configuration.plan.holdings.end())
        return wanted;
    for (const PlannedHolding &holding : it->second) {
        wire::ModelState state;
        state.name = holding.name;
        state.version = holding.version;
        state.memoryMb = holding.memory.count();
        state.adapter = holding.adapter;
        wanted.push_back(state);
    }
    return wanted;
}

class DoorFactory : public wire::GatewayIfFactory
{
public:
    DoorFactory(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                CrashWatch &crashes, PeerExchange &peers)
        : m_settings(settings), m_state(state), m_fleet(fleet), m_crashes(crashes), m_peers(peers)
    { }

    wire::GatewayIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new GatewayDoor(m_settings, m_state, m_fleet, m_crashes, m_peers);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    const GatewaySettings &m_settings;
    SharedState &m_state;
    Fleet &m_fleet;
    CrashWatch &m_crashes;
    PeerExchange &m_peers;
};

} // namespace

GatewayDoor::GatewayDoor(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                         CrashWatch &crashes, PeerExchange &peers)
    : m_state(state), m_fleet(fleet), m_crashes(crashes), m_peers(peers),
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

void GatewayDoor::events(std::vector<wire::TimelineEvent> &, const std::string &, std::int32_t)
{
    m_guard.require();
}

void GatewayDoor::report(wire::ReportReply &reply, const wire::AgentReport &report)
{
    m_guard.require();
    AgentStatus status = fromWire(report);
    const auto configuration = m_state.configuration();
    if (configuration) {
        const auto server = configuration->list.servers.find(status.server);
        if (server != configuration->list.servers.end() && !status.engine)
            status.ready.insert(server->second.service.text());
        reply.configurationVersion = configuration->version.count();
        reply.planVersion = configuration->version.count();
        if (report.planVersion < reply.planVersion)
            reply.wanted = wantedFor(*configuration, status.server);
    }
    m_fleet.update(status);
    m_crashes.add(report.suspicions, report.instance);
}

void GatewayDoor::exchange(wire::PeerDigest &answer, const wire::PeerDigest &digest)
{
    m_guard.require();
    answer = toWire(m_peers.answer(fromWire(digest)));
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
                       CrashWatch &crashes, PeerExchange &peers)
{
    return std::make_shared<wire::GatewayProcessorFactory>(
        std::make_shared<DoorFactory>(settings, state, fleet, crashes, peers));
}

} // namespace quetzalyoke
