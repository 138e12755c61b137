#ifndef QUETZALYOKE_APPS_AGENT_AGENTTHRIFTHANDLER_H
#define QUETZALYOKE_APPS_AGENT_AGENTTHRIFTHANDLER_H

#include "Adapters/FleetAuthenticator.h"
#include "Apps/Agent/AttemptTable.h"
#include "Wire/generated/Agent.h"

#include <memory>
#include <string>

namespace quetzalyoke {

/// \brief Handles the Thrift calls of one connection from a gateway.
class AgentThriftHandler : public wire::AgentIf
{
public:
    AgentThriftHandler(AttemptTable &table, const std::string &secret);

    void challenge(std::string &nonce) override;
    bool authenticate(const std::string &proof) override;
    void events(std::vector<wire::TimelineEvent> &events, const std::string &requestId,
                std::int32_t limit) override;
    void submit(wire::Progress &progress, const wire::Submission &submission,
                std::int64_t waitMillis) override;
    void fetch(wire::Progress &progress, const std::string &attemptId, std::int64_t offset,
               std::int64_t waitMillis) override;
    wire::RunState::type cancel(const std::string &attemptId) override;

private:
    AttemptTable &m_table;
    FleetAuthenticator m_authenticator;
};

/// Returns a factory that creates an AgentThriftHandler for each connection.
std::shared_ptr<apache::thrift::TProcessorFactory>
makeAgentProcessorFactory(AttemptTable &table, const std::string &secret);

} // namespace quetzalyoke

#endif
