#include "Apps/Gateway/GatewayThriftHandler.h"

#include "Adapters/ProcessTimeline.h"
#include "Adapters/WireConversion.h"

namespace quetzalyoke {

namespace {

class ThriftHandlerFactory : public wire::GatewayIfFactory
{
public:
    explicit ThriftHandlerFactory(const GatewayThriftContext &context) : m_context(context) { }

    wire::GatewayIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new GatewayThriftHandler(m_context);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    const GatewayThriftContext m_context;
};

} // namespace

GatewayThriftHandler::GatewayThriftHandler(const GatewayThriftContext &context)
    : m_context(context), m_authenticator(context.settings.fleetSecret)
{ }

void GatewayThriftHandler::challenge(std::string &nonce)
{
    nonce = m_authenticator.challenge();
}

bool GatewayThriftHandler::authenticate(const std::string &proof)
{
    return m_authenticator.authenticate(proof);
}

void GatewayThriftHandler::events(std::vector<wire::TimelineEvent> &events,
                                  const std::string &requestId, std::int32_t limit)
{
    m_authenticator.requireAuthenticated();
    ProcessTimeline::events(events, requestId, limit);
}

void GatewayThriftHandler::report(wire::ReportReply &reply, const wire::AgentReport &report)
{
    m_authenticator.requireAuthenticated();
    ProcessTimeline::mergeTimestamp(report.clock);
    reply.gateways = m_context.peers.knownThriftAddresses();
    AgentStatus status = fromWire(report);
    const auto configuration = m_context.state.configuration();
    if (configuration) {
        const auto server = configuration->serviceList.servers.find(status.server);
        if (server != configuration->serviceList.servers.end() && !status.isEngine)
            status.availableTargets.insert(server->second.service.text());
        reply.configurationVersion = configuration->version.count();
        m_context.planner.fillReply(reply, report, *configuration);
    }
    // An agent's own report that it is draining takes effect at once; the platform's instance list
    // may show it later.
    m_context.agentRegistry.updateStatus(status);
    reply.clock = ProcessTimeline::nextTimestamp();
    m_context.crashes.addSuspicions(report.suspicions, report.instance);
}

void GatewayThriftHandler::exchange(wire::PeerDigest &response, const wire::PeerDigest &digest)
{
    m_authenticator.requireAuthenticated();
    ProcessTimeline::mergeTimestamp(digest.clock);
    m_context.crashes.addSuspicions(digest.suspicions);
    response = toWire(m_context.peers.handleExchange(fromWire(digest)));
    response.suspicions = m_context.crashes.suspicions();
    response.clock = ProcessTimeline::nextTimestamp();
}

void GatewayThriftHandler::stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion)
{
    m_authenticator.requireAuthenticated();
    rows = toWire(m_context.state.rowsAfter(Version(sinceVersion)));
}

void GatewayThriftHandler::configurationText(std::string &text, std::int64_t version)
{
    m_authenticator.requireAuthenticated();
    const auto configuration = m_context.state.configuration();
    if (configuration && configuration->version == Version(version))
        text = configuration->text;
}

std::int64_t GatewayThriftHandler::spendShare(const std::string &account, std::int64_t tokens)
{
    m_authenticator.requireAuthenticated();
    return m_context.peers.lend(AccountId(account), Tokens(tokens)).count();
}

std::shared_ptr<apache::thrift::TProcessorFactory>
makeGatewayProcessorFactory(const GatewayThriftContext &context)
{
    return std::make_shared<wire::GatewayProcessorFactory>(
        std::make_shared<ThriftHandlerFactory>(context));
}

} // namespace quetzalyoke
