#include "Apps/Gateway/GatewayThriftHandler.h"

#include "Adapters/ProcessTimeline.h"
#include "Adapters/WireConversion.h"

namespace quetzalyoke {

namespace {

class ThriftHandlerFactory : public wire::GatewayIfFactory
{
public:
    explicit ThriftHandlerFactory(const GatewayThriftContext &parts) : m_parts(parts) { }

    wire::GatewayIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new GatewayThriftHandler(m_parts);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    const GatewayThriftContext m_parts;
};

} // namespace

GatewayThriftHandler::GatewayThriftHandler(const GatewayThriftContext &parts)
    : m_parts(parts), m_guard(parts.settings.fleetSecret)
{ }

void GatewayThriftHandler::challenge(std::string &nonce)
{
    nonce = m_guard.challenge();
}

bool GatewayThriftHandler::authenticate(const std::string &proof)
{
    return m_guard.authenticate(proof);
}

void GatewayThriftHandler::events(std::vector<wire::TimelineEvent> &events,
                                  const std::string &requestId, std::int32_t limit)
{
    m_guard.requireAuthenticated();
    ProcessTimeline::events(events, requestId, limit);
}

void GatewayThriftHandler::report(wire::ReportReply &reply, const wire::AgentReport &report)
{
    m_guard.requireAuthenticated();
    ProcessTimeline::mergeTimestamp(report.clock);
    reply.gateways = m_parts.peers.knownThriftAddresses();
    AgentStatus status = fromWire(report);
    const auto configuration = m_parts.state.configuration();
    if (configuration) {
        const auto server = configuration->serviceList.servers.find(status.server);
        if (server != configuration->serviceList.servers.end() && !status.isEngine)
            status.availableTargets.insert(server->second.service.text());
        reply.configurationVersion = configuration->version.count();
        m_parts.planner.fillReply(reply, report, *configuration);
    }
    // An agent that says so itself is believed at once, the platform's list whenever it shows it.
    m_parts.agentRegistry.updateStatus(status);
    reply.clock = ProcessTimeline::nextTimestamp();
    m_parts.crashes.addSuspicions(report.suspicions, report.instance);
}

void GatewayThriftHandler::exchange(wire::PeerDigest &response, const wire::PeerDigest &digest)
{
    m_guard.requireAuthenticated();
    ProcessTimeline::mergeTimestamp(digest.clock);
    m_parts.crashes.addSuspicions(digest.suspicions);
    response = toWire(m_parts.peers.handleExchange(fromWire(digest)));
    response.suspicions = m_parts.crashes.suspicions();
    response.clock = ProcessTimeline::nextTimestamp();
}

void GatewayThriftHandler::stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion)
{
    m_guard.requireAuthenticated();
    rows = toWire(m_parts.state.rowsAfter(Version(sinceVersion)));
}

void GatewayThriftHandler::configurationText(std::string &text, std::int64_t version)
{
    m_guard.requireAuthenticated();
    const auto configuration = m_parts.state.configuration();
    if (configuration && configuration->version == Version(version))
        text = configuration->text;
}

std::int64_t GatewayThriftHandler::spendShare(const std::string &account, std::int64_t tokens)
{
    m_guard.requireAuthenticated();
    return m_parts.peers.lend(AccountId(account), Tokens(tokens)).count();
}

std::shared_ptr<apache::thrift::TProcessorFactory>
makeGatewayProcessorFactory(const GatewayThriftContext &parts)
{
    return std::make_shared<wire::GatewayProcessorFactory>(
        std::make_shared<ThriftHandlerFactory>(parts));
}

} // namespace quetzalyoke
