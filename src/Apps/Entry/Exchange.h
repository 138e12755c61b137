#ifndef QUETZALYOKE_APPS_ENTRY_EXCHANGE_H
#define QUETZALYOKE_APPS_ENTRY_EXCHANGE_H

#include "Apps/Entry/BackendAttempt.h"
#include "Apps/Entry/RequestAdmission.h"
#include "Serving/Requests/EventScanner.h"

namespace quetzalyoke {

/// \brief One caller's request from its arrival to its final answer.
///
/// At any time it waits for a server, has one attempt under way, or is over. What may be said of
/// an attempt decides its end: only one that never left this gateway, or that its server
/// states not to have run, may be refused as not run or sent elsewhere freely.
class Exchange : public Waiter, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(EntryState &state, CallerSession::Pointer session, CallerRequest &&request);

    void start();
    bool retry() override;

private:
    bool place();
    void waitInLine();
    void send(const PlacementChoice &choice);
    bool mayStillSend() const;
    Duration expectedRun(Duration expectedFirst, Instant now) const;
    std::string backendRequest(const ServerState &server, Duration left) const;

    ExchangeHooks::Head onHead(int status, const boost::beast::http::fields &fields);
    void noteLoad(const BackendVerdict &verdict);
    void onBody(std::string_view data);
    void onEnd(ExchangeEnd end);
    void onFirstByte();
    void forward(std::string_view data);
    std::set<ServerName> blockedServers(Instant now) const;
    void onNotRun();
    void onAnswered();
    void onBroken(ExchangeEnd end);
    bool mayRepeat() const;
    bool takeRepeat();
    void repeat(const char *reason);
    void releaseWork(const BackendAttempt &attempt);
    void releaseAttempt();

    void setTimer();
    void onTimer();
    void onPatienceOver();
    void onGiveUp();
    void onCallerLeft();

    void refuse(int status, const char *reason, std::optional<Duration> retryAfter);
    void fail(int status, const char *reason);
    void finish(const char *outcome);
    Duration left(Instant now) const { return m_context.giveUpAt - now; }
    Duration age() const { return loopNow() - m_request.arrivedAt; }

    EntryState &m_state;
    CallerSession::Pointer m_session;
    CallerRequest m_request;
    RequestContext m_context;
    asio::steady_timer m_timer;
    std::unique_ptr<BackendAttempt> m_attempt;
    std::map<ServerName, Instant> m_blocked; // not to be tried before
    int m_arrivals = 0; // at servers
    int m_runs = 0; // that may have taken place
    bool m_isWaiting = false;
    bool m_isStreaming = false; // the caller has the head of a stream
    bool m_isOver = false;
    bool m_patienceOver = false;
    EventScanner m_events;
};

} // namespace quetzalyoke

#endif
