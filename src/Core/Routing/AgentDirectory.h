#ifndef QUETZALYOKE_CORE_ROUTING_AGENTDIRECTORY_H
#define QUETZALYOKE_CORE_ROUTING_AGENTDIRECTORY_H

#include "Core/StrongTypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief A backend server's state as its agent last reported it.
struct AgentStatus
{
    InstanceId instance;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Of the report; rises within an incarnation.
    ZoneName zone;
    std::string address; ///< host:port of the agent's door.
    ServerName server;
    bool isEngine = true;
    std::set<std::string> availableTargets; ///< Models and adapters that can answer now.
    std::int64_t queued = 0;
    std::int64_t running = 0;
    std::int64_t capacity = 1; ///< Attempts that run at once.
    bool draining = false;
};

/// \brief The agents that a gateway knows, from their reports.
///
/// A report that is older than the one known is dropped; an agent that has been silent for
/// longer than the limit gets no new work. Agents are indexed by what they can answer, so that
/// a routing decision looks at a few of them without going through all.
class AgentDirectory
{
public:
    explicit AgentDirectory(Duration silenceLimit);

    /// Takes a report; false where a newer one is known.
    bool update(const AgentStatus &status, Instant now);
    /// Drops an agent until its next report, for example after a connection to it failed.
    void markUnreachable(const InstanceId &instance);
    /// The instances that the platform lists as leaving, until the next call.
    void setLeavingInstances(std::set<InstanceId> leaving) { m_leaving = std::move(leaving); }
    /// Changes the number of attempts that this gateway itself has at an agent.
    void adjustOwnLoad(const InstanceId &instance, std::int64_t change);
    /// Takes an agent's queued and running attempts as an answer of it said them.
    void updateReportedLoad(const InstanceId &instance, std::int64_t load);

    /// \brief One agent, with the load that this gateway itself has put on it.
    struct Candidate
    {
        AgentStatus status;
        std::int64_t ownLoad = 0;
        std::int64_t reportedLoad = 0; ///< Queued and running, as last heard.
        std::int64_t ownLoadAtReport = 0; ///< Of ownLoad, the part that was known then.

        /// The report corrected by what this gateway has sent and got back since.
        std::int64_t estimatedLoad() const;
    };

    /// \brief Agents that can answer for one model, adapter or service, by instance id.
    struct TargetAgents
    {
        using AgentList = std::vector<const Candidate *>;

        AgentList all;
        std::map<ZoneName, AgentList> byZone;

        /// Those in \a zone; empty where there is none.
        const AgentList &inZone(const ZoneName &zone) const;
    };

    /// Agents with \a target ready; not all of them need be fit for new work.
    const TargetAgents &agentsServing(const std::string &target) const;
    /// Whether \a candidate, from serving(), is heard of, not suspected and not leaving.
    bool isAvailable(const Candidate &candidate, Instant now) const;

    std::vector<Candidate> candidates() const;

private:
    struct Entry : Candidate
    {
        Instant reportedAt;
        bool isUnreachable = false;
    };

    void addToIndex(const Entry &entry);
    void removeFromIndex(const Entry &entry);

    Duration m_silenceLimit;
    std::set<InstanceId> m_leaving;
    std::unordered_map<InstanceId, std::unique_ptr<Entry>> m_agents;
    std::unordered_map<std::string, TargetAgents> m_agentsByTarget; // by model, adapter or service
};

} // namespace quetzalyoke

#endif
