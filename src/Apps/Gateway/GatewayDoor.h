#ifndef QUETZALYOKE_APPS_GATEWAY_GATEWAYDOOR_H
#define QUETZALYOKE_APPS_GATEWAY_GATEWAYDOOR_H

#include "Adapters/FleetGuard.h"
#include "Apps/Gateway/CrashWatch.h"
#include "Apps/Gateway/Fleet.h"
#include "Apps/Gateway/PeerExchange.h"
#include "Apps/Gateway/Planner.h"
#include "Apps/Gateway/SharedState.h"
#include "Wire/generated/Gateway.h"

#include <memory>
#include <string>

namespace quetzalyoke {

/// \brief The parts of a gateway that its door gives access to.
struct DoorParts
{
    const GatewaySettings &settings;
    SharedState &state;
    Fleet &fleet;
    CrashWatch &crashes;
    Planner &planner;
    PeerExchange &peers;
};

/// \brief Thrift handler of one connection from an agent or another gateway.
class GatewayDoor : public wire::GatewayIf
{
public:
    explicit GatewayDoor(const DoorParts &parts);

    void challenge(std::string &nonce) override;
    bool authenticate(const std::string &proof) override;
    void events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                std::int32_t limit) override;
    void report(wire::ReportReply &reply, const wire::AgentReport &report) override;
    void exchange(wire::PeerDigest &answer, const wire::PeerDigest &digest) override;
    void stateRows(std::vector<wire::StateRow> &rows, std::int64_t sinceVersion) override;
    void configurationText(std::string &text, std::int64_t version) override;
    std::int64_t spendShare(const std::string &account, std::int64_t tokens) override;

private:
    const DoorParts m_parts;
    FleetGuard m_guard;
};

/// Makes a handler for each connection.
std::shared_ptr<apache::thrift::TProcessorFactory> makeGatewayDoorFactory(const DoorParts &parts);

} // namespace quetzalyoke

#endif
