#ifndef QUETZALYOKE_CORE_AGENTDIRECTORY_H
#define QUETZALYOKE_CORE_AGENTDIRECTORY_H

#include "Core/StrongTypes.h"

#include <map>
#include <set>
#include <string>
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
    bool engine = true;
    std::set<std::string> ready; ///< Models and adapters that can answer now.
    std::int64_t queued = 0;
    std::int64_t running = 0;
    std::int64_t capacity = 1; ///< Attempts that run at once.
    bool draining = false;
};

/// \brief The agents that a gateway knows, from their reports.
///
/// A report that is older than the one known is dropped; an agent that has been silent for
/// longer than the limit gets no new work.
class AgentDirectory
{
public:
    explicit AgentDirectory(Duration silenceLimit);

    /// Takes a report; false where a newer one is known.
    bool update(const AgentStatus &status, Instant now);
    /// Drops an agent until its next report, for example after a connection to it failed.
    void suspect(const InstanceId &instance);
    void adjustOwnLoad(const InstanceId &instance, std::int64_t change);

    /// One agent that may take work, with the load that this gateway itself has put on it.
    struct Candidate
    {
        AgentStatus status;
        std::int64_t ownLoad = 0;
    };

    /// Live agents, not draining, that \a accepts says yes to.
    template<typename Predicate>
    std::vector<Candidate> candidates(Instant now, Predicate &&accepts) const
    {
        std::vector<Candidate> found;
        for (const auto &[id, entry] : m_agents) {
            if (entry.suspected || entry.candidate.status.draining)
                continue;
            if (entry.heardAt + m_silenceLimit < now || !accepts(entry.candidate.status))
                continue;
            found.push_back(entry.candidate);
        }
        return found;
    }

    std::vector<Candidate> all() const;

private:
    struct Entry
    {
        Candidate candidate;
        Instant heardAt;
        bool suspected = false;
    };

    Duration m_silenceLimit;
    std::map<InstanceId, Entry> m_agents;
};

} // namespace quetzalyoke

#endif
