#include "Apps/Gateway/GatewayDoor.h"

namespace quetzalyoke {

namespace {

AgentStatus statusFrom(const wire::AgentReport &report)
{
    AgentStatus status;
    status.instance = InstanceId(report.instance);
    status.incarnation = Incarnation(report.incarnation);
    status.sequence = report.sequence;
    status.zone = ZoneName(report.zone);
    status.address = report.address;
    status.server = ServerName(report.serverName);
    status.engine = report.backendKind == "engine";
    status.queued = report.queued;
    status.running = report.running;
    status.capacity = report.capacity;
    status.draining = report.draining;
    for (const wire::ModelState &it : report.models) {
        if (it.ready)
            status.ready.insert(it.name);
    }
    return status;
}

class DoorFactory : public wire::GatewayIfFactory
{
public:
    DoorFactory(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                CrashWatch &crashes, Planner &planner)
        : m_settings(settings), m_state(state), m_fleet(fleet), m_crashes(crashes),
          m_planner(planner)
    { }

    wire::GatewayIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new GatewayDoor(m_settings, m_state, m_fleet, m_crashes, m_planner);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    const GatewaySettings &m_settings;
    SharedState &m_state;
    Fleet &m_fleet;
    CrashWatch &m_crashes;
    Planner &m_planner;
};

} // namespace

GatewayDoor::GatewayDoor(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                         CrashWatch &crashes, Planner &planner)
    : m_state(state), m_fleet(fleet), m_crashes(crashes), m_planner(planner),
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
    AgentStatus status = statusFrom(report);
    const auto configuration = m_state.configuration();
    if (configuration) {
        const auto server = configuration->list.servers.find(status.server);
        if (server != configuration->list.servers.end() && !status.engine)
            status.ready.insert(server->second.service.text());
        reply.configurationVersion = configuration->version.count();
        m_planner.answer(reply, report, *configuration);
    }
    // An agent that says so itself is believed at once, the platform's list whenever it shows it.
    status.draining = status.draining || m_planner.isLeaving(status.instance);
    m_fleet.update(status);
    m_crashes.add(report.suspicions, report.instance);
}

void GatewayDoor::exchange(wire::PeerDigest &answer, const wire::PeerDigest &digest)
{
    m_guard.require();
    m_crashes.add(digest.suspicions);
    answer.suspicions = m_crashes.suspicions();
    answer.stateVersion = m_state.version().count();
}

void GatewayDoor::stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion)
{
    m_guard.require();
    for (const StateRow &it : m_state.rowsAfter(Version(sinceVersion))) {
        wire::StateRow row;
        row.key = it.key;
        row.value = it.value;
        row.version = it.version.count();
        rows.push_back(row);
    }
}

std::int64_t GatewayDoor::spendShare(const std::string &, std::int64_t)
{
    m_guard.require();
    return 0;
}

std::shared_ptr<apache::thrift::TProcessorFactory>
makeGatewayDoorFactory(const GatewaySettings &settings, SharedState &state, Fleet &fleet,
                       CrashWatch &crashes, Planner &planner)
{
    return std::make_shared<wire::GatewayProcessorFactory>(
        std::make_shared<DoorFactory>(settings, state, fleet, crashes, planner));
}

} // namespace quetzalyoke
