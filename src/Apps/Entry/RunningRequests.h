#ifndef QUETZALYOKE_APPS_ENTRY_RUNNINGREQUESTS_H
#define QUETZALYOKE_APPS_ENTRY_RUNNINGREQUESTS_H

#include <map>
#include <memory>
#include <vector>

namespace quetzalyoke {

/// \brief A request that has been admitted and has no final response yet.
class RunningRequest
{
public:
    virtual ~RunningRequest() = default;
    /// Gives the request its final response, because the process is about to end.
    virtual void endForStop() = 0;
};

/// \brief All requests that are running.
class RunningRequests
{
public:
    void add(const std::shared_ptr<RunningRequest> &request) { m_all[request.get()] = request; }
    void remove(RunningRequest *request) { m_all.erase(request); }
    /// Ends the requests; each of them removes itself.
    void endAll()
    {
        std::vector<std::shared_ptr<RunningRequest>> ended;
        for (const auto &[key, request] : m_all) {
            if (auto it = request.lock())
                ended.push_back(std::move(it));
        }
        for (const auto &request : ended)
            request->endForStop();
    }

private:
    std::map<RunningRequest *, std::weak_ptr<RunningRequest>> m_all;
};

} // namespace quetzalyoke

#endif
