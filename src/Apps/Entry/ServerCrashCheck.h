#ifndef QUETZALYOKE_APPS_ENTRY_SERVERCRASHCHECK_H
#define QUETZALYOKE_APPS_ENTRY_SERVERCRASHCHECK_H

#include "Adapters/Address.h"
#include "Adapters/Async/EventLoop.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Finds out whether a server has crashed after a connection to it was lost.
///
/// A server that has ended refuses connections at once, seconds before its entry is removed from
/// the platform's list.
class ServerCrashCheck
{
public:
    using Hook = std::function<void(bool isRefused)>;

    explicit ServerCrashCheck(asio::io_context &loop) : m_loop(loop) { }

    /// Calls \a done from the event loop, within half a second.
    void start(const std::string &address, Hook done);
    /// Returns whether no check is under way.
    bool isIdle() const { return m_pending.empty(); }

private:
    struct Attempt;

    void connect(const std::string &address, bool isFirst);
    void finish(const std::string &address, bool isRefused);

    asio::io_context &m_loop;
    std::map<std::string, std::vector<Hook>> m_pending; // by address
};

} // namespace quetzalyoke

#endif
