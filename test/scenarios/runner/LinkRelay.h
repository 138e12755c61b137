#ifndef QUETZALYOKE_SCENARIOS_LINKRELAY_H
#define QUETZALYOKE_SCENARIOS_LINKRELAY_H

#include "Adapters/Address.h"

#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace quetzalyoke::scenarios {

/// \brief What a link does with the bytes given to it.
enum class LinkState {
    Open, ///< Passes both ways.
    Closed, ///< Ends every connection, also new ones.
    Stalled, ///< Holds the bytes of both ways until it is open again.
    ResponsesStalled, ///< Passes what is asked and holds the answers until it is open again.
};

/// \brief One directed link between two processes: a TCP relay that can be cut and healed.
class LinkRelay
{
public:
    /// Listens on a free loopback port. Throws Error (BadSettings).
    LinkRelay();
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    /// Where the process at the near end connects to.
    Address address() const { return {"127.0.0.1", m_port}; }
    /// Sends new connections to \a target; without a target they are closed.
    void setTarget(const Address &target);
    void setState(LinkState state) { m_state = state; }

private:
    struct Connection
    {
        int near = -1; ///< The socket of the process that connected.
        int far = -1;
        std::atomic<int> pumps{2};
        std::thread forward;
        std::thread backward;
    };

    void acceptConnections();
    void open(int near);
    /// Moves bytes until either end closes or the link does.
    void pump(Connection &connection, bool forward);
    bool isHeld(bool forward) const;
    void dropEnded();
    static void join(Connection &connection);

    int m_listener = -1;
    int m_port = 0;
    std::atomic<LinkState> m_state{LinkState::Open};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex; // of m_target
    Address m_target;
    std::list<Connection> m_connections; // used by the accepting thread alone
    std::thread m_thread;
};

} // namespace quetzalyoke::scenarios

#endif
