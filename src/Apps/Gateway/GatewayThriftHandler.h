#ifndef QUETZALYOKE_APPS_GATEWAY_GATEWAYTHRIFTHANDLER_H
#define QUETZALYOKE_APPS_GATEWAY_GATEWAYTHRIFTHANDLER_H

#include "Adapters/FleetAuthenticator.h"
#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/PeerExchange.h"
#include "Apps/Gateway/PlacementCoordinator.h"
#include "Apps/Gateway/SharedCrashingRequestTracker.h"
#include "Wire/generated/Gateway.h"

#include <memory>
#include <string>

namespace quetzalyoke {

/// \brief The parts of a gateway that its Thrift server gives access to.
struct GatewayThriftContext
{
    const GatewaySettings &settings;
    GatewayState &state;
    AgentRegistry &agentRegistry;
    SharedCrashingRequestTracker &crashes;
    PlacementCoordinator &planner;
    PeerExchange &peers;
};

/// \brief Thrift handler for one connection from an agent or another gateway.
class GatewayThriftHandler : public wire::GatewayIf
{
public:
    explicit GatewayThriftHandler(const GatewayThriftContext &context);

    void challenge(std::string &nonce) override;
    bool authenticate(const std::string &proof) override;
    void events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                std::int32_t limit) override;
    void report(wire::ReportReply &reply, const wire::AgentReport &report) override;
    void exchange(wire::PeerDigest &response, const wire::PeerDigest &digest) override;
    void stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion) override;
    void configurationText(std::string &text, std::int64_t version) override;
    std::int64_t spendShare(const std::string &account, std::int64_t tokens) override;

private:
    const GatewayThriftContext m_context;
    FleetAuthenticator m_authenticator;
};

/// Creates a factory that makes a handler for each connection.
std::shared_ptr<apache::thrift::TProcessorFactory>
makeGatewayProcessorFactory(const GatewayThriftContext &context);

} // namespace quetzalyoke

#endif
