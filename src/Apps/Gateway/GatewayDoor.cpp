#include "Apps/Gateway/GatewayDoor.h"

#include "Adapters/EventLog.h"
#include "Adapters/WireConversion.h"

namespace quetzalyoke {

namespace {

class DoorFactory : public wire::GatewayIfFactory
{
public:
    explicit DoorFactory(const DoorParts &parts) : m_parts(parts) { }

    wire::GatewayIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new GatewayDoor(m_parts);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    const DoorParts m_parts;
};

} // namespace

GatewayDoor::GatewayDoor(const DoorParts &parts)
    : m_parts(parts), m_guard(parts.settings.fleetSecret)
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
    reply.gateways = m_parts.peers.knownDoors();
    AgentStatus status = fromWire(report);
    const auto configuration = m_parts.state.configuration();
    if (configuration) {
        const auto server = configuration->list.servers.find(status.server);
        if (server != configuration->list.servers.end() && !status.engine)
            status.ready.insert(server->second.service.text());
        reply.configurationVersion = configuration->version.count();
        m_parts.planner.answer(reply, report, *configuration);
    }
    // An agent that says so itself is believed at once, the platform's list whenever it shows it.
    m_parts.fleet.update(status);
    reply.clock = EventLog::stamp();
    m_parts.crashes.add(report.suspicions, report.instance);
}

void GatewayDoor::exchange(wire::PeerDigest &answer, const wire::PeerDigest &digest)
{
    m_guard.require();
    EventLog::observe(digest.clock);
    m_parts.crashes.add(digest.suspicions);
    answer = toWire(m_parts.peers.answer(fromWire(digest)));
    answer.suspicions = m_parts.crashes.suspicions();
    answer.clock = EventLog::stamp();
}

void GatewayDoor::stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion)
{
    m_guard.require();
    rows = toWire(m_parts.state.rowsAfter(Version(sinceVersion)));
}

void GatewayDoor::configurationText(std::string &text, std::int64_t version)
{
    m_guard.require();
    const auto configuration = m_parts.state.configuration();
    if (configuration && configuration->version == Version(version))
        text = configuration->text;
}

std::int64_t GatewayDoor::spendShare(const std::string &account, std::int64_t tokens)
{
    m_guard.require();
    return m_parts.peers.lend(AccountId(account), Tokens(tokens)).count();
}

std::shared_ptr<apache::thrift::TProcessorFactory> makeGatewayDoorFactory(const DoorParts &parts)
{
    return std::make_shared<wire::GatewayProcessorFactory>(std::make_shared<DoorFactory>(parts));
}

} // namespace quetzalyoke
