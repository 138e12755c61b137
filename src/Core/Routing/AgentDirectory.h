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
    std::int64_t sequence = 0; ///< Number of the report; rises within an incarnation.
    ZoneName zone;
    std::string address; ///< host:port where the agent accepts requests.
    ServerName server;
    bool isEngine = true;
    std::set<std::string> availableTargets; ///< Models and adapters that can serve now.
    std::int64_t queued = 0;
    std::int64_t running = 0;
    std::int64_t capacity = 1; ///< Number of attempts that run at once.
    bool draining = false;
};

/// \brief The agents that a gateway knows from their reports.
///
/// A report that is older than the last one applied is dropped. An agent that has not reported
/// for longer than the limit gets no new work. Agents are indexed by the targets that they serve,
/// so that a routing decision looks at a few agents instead of all.
class AgentDirectory
{
public:
    /// An agent whose last report is older than \a reportTimeout gets no new work.
    explicit AgentDirectory(Duration reportTimeout);

    /// Applies a report. Returns false if it is no newer than the last one applied.
    bool update(const AgentStatus &status, Instant now);
    /// Excludes an agent until its next report, for example after a connection to it failed.
    void markUnreachable(const InstanceId &instance);
    /// Sets the instances that the platform lists as leaving; replaces the previous set.
    void setLeavingInstances(std::set<InstanceId> leaving) { m_leaving = std::move(leaving); }
    /// Changes the number of attempts that this gateway has in flight at an agent by \a change.
    void adjustOwnLoad(const InstanceId &instance, std::int64_t change);
    /// Sets the number of queued and running attempts that an agent stated in a response.
    void updateReportedLoad(const InstanceId &instance, std::int64_t load);

    /// \brief One agent, with the load that this gateway has put on it.
    struct Candidate
    {
        AgentStatus status;
        std::int64_t ownLoad = 0; ///< This gateway's attempts in flight at the agent.
        std::int64_t reportedLoad = 0; ///< Queued and running attempts as the agent last stated.
        std::int64_t ownLoadAtReport = 0; ///< Value of ownLoad at that time.

        /// Returns the reported load, corrected by the attempts that this gateway has started and
        /// finished since.
        std::int64_t estimatedLoad() const;
    };

    /// \brief Agents that can serve one model, adapter or service, sorted by instance id.
    struct TargetAgents
    {
        using AgentList = std::vector<const Candidate *>;

        AgentList all;
        std::map<ZoneName, AgentList> byZone;

        /// Returns the agents in \a zone; the list may be empty.
        const AgentList &inZone(const ZoneName &zone) const;
    };

    /// Returns the agents that have \a target ready. Some of them may not be available.
    /// \sa isAvailable()
    const TargetAgents &agentsServing(const std::string &target) const;
    /// Returns whether \a candidate, from agentsServing(), has reported recently and is neither
    /// unreachable, draining nor leaving.
    bool isAvailable(const Candidate &candidate, Instant now) const;

    /// Returns all agents, sorted by instance id.
    std::vector<Candidate> candidates() const;

private:
    struct Entry : Candidate
    {
        Instant reportedAt;
        bool isUnreachable = false;
    };

    void addToIndex(const Entry &entry);
    void removeFromIndex(const Entry &entry);

    Duration m_reportTimeout;
    std::set<InstanceId> m_leaving;
    std::unordered_map<InstanceId, std::unique_ptr<Entry>> m_agents;
    std::unordered_map<std::string, TargetAgents> m_agentsByTarget; // by model, adapter or service
};

} // namespace quetzalyoke

#endif
