#ifndef QUETZALYOKE_SCENARIOS_LINKRELAY_H
#define QUETZALYOKE_SCENARIOS_LINKRELAY_H

#include "Adapters/Address.h"

#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace quetzalyoke::scenarios {

/// \brief How a link treats the bytes that it receives.
enum class LinkState {
    Open, ///< Forwards in both directions.
    Closed, ///< Closes every connection, including new ones.
    Stalled, ///< Holds the bytes of both directions until it is open again.
    ResponsesStalled, ///< Forwards requests, but holds responses until it is open again.
};

/// \brief A directed link between two processes: a TCP relay that can be cut and restored.
class LinkRelay
{
public:
    /// Listens at \a listen, on a free port if its port is 0. Throws Error (BadSettings) if it
    /// can't.
    explicit LinkRelay(const Address &listen = {"127.0.0.1", 0});
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    /// Returns the address that the process at the near end connects to.
    Address address() const { return m_address; }
    /// Forwards new connections to \a target. Without a target they are closed.
    void setTarget(const Address &target);
    void setState(LinkState state) { m_state = state; }
    LinkState state() const { return m_state; }
    /// Refuses new connections, as the address of a process that has ended does. Only for a port
    /// that the system doesn't choose for other sockets. Throw Error (BadSettings).
    void stopListening();
    void resumeListening();

private:
    struct Connection
    {
        int near = -1; ///< Socket to the process that connected.
        int far = -1;
        std::atomic<int> pumps{2};
        std::thread forward;
        std::thread backward;
    };

    void replaceListener(int fd);
    void acceptConnections();
    void open(int near);
    /// Forwards bytes until one of the ends or the link closes.
    void pump(Connection &connection, bool forward);
    bool isHolding(bool forward) const;
    void removeEndedConnections();
    static void join(Connection &connection);

    const int m_listener;
    Address m_address;
    std::atomic<LinkState> m_state{LinkState::Open};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex; // guards m_target
    Address m_target;
    std::list<Connection> m_connections; // used only by the accepting thread
    std::thread m_thread;
};

} // namespace quetzalyoke::scenarios

#endif
