#ifndef QUETZALYOKE_APPS_ENTRY_REQUESTHANDLER_H
#define QUETZALYOKE_APPS_ENTRY_REQUESTHANDLER_H

#include "Apps/Entry/BackendAttempt.h"
#include "Apps/Entry/RequestAdmission.h"
#include "Serving/Requests/EventStreamSplitter.h"

namespace quetzalyoke {

/// \brief One caller's request from its arrival to its final answer.
///
/// At any time it waits for a server, has one attempt under way, or is over. What may be said of
/// an attempt decides its end: only one that never left this gateway, or that its server
/// states not to have run, may be refused as not run or sent elsewhere freely.
class RequestHandler : public Waiter, public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(EntryState &state, HttpServerConnection::Pointer session, HttpRequest &&request);

    void start();
    bool retryDispatch() override;

private:
    bool dispatch();
    void enqueue();
    void send(const ServerChoice &choice);
    bool mayStillSend() const;
    Duration expectedDuration(Duration expectedFirst, Instant now) const;
    std::string buildBackendRequest(const ServerState &server, Duration left) const;

    ExchangeHooks::HeaderDecision onHead(int status, const boost::beast::http::fields &fields);
    void recordServerLoad(const BackendResponseInfo &verdict);
    void onBody(std::string_view data);
    void onEnd(ExchangeOutcome end);
    void onFirstByte();
    void forward(std::string_view data);
    std::set<ServerName> excludedServers(Instant now) const;
    void onNotRun();
    void onAnswered();
    void onAttemptFailed(ExchangeOutcome end);
    bool mayRetry() const;
    bool tryConsumeRetry();
    void retryRequest(const char *reason);
    void releaseWork(const BackendAttempt &attempt);
    void releaseAttempt();

    void setTimer();
    void onTimer();
    void onFirstByteTimeout();
    void onDeadline();
    void onCallerDisconnected();

    void refuse(int status, const char *reason, std::optional<Duration> retryAfter);
    void fail(int status, const char *reason);
    void finish(const char *outcome);
    Duration remainingTime(Instant now) const { return m_context.deadline - now; }
    Duration age() const { return steadyNow() - m_request.arrivedAt; }

    EntryState &m_state;
    HttpServerConnection::Pointer m_session;
    HttpRequest m_request;
    RequestContext m_context;
    asio::steady_timer m_timer;
    std::unique_ptr<BackendAttempt> m_attempt;
    std::map<ServerName, Instant> m_excludedUntil; // not to be tried before
    int m_sentAttempts = 0; // at servers
    int m_possibleRuns = 0; // that may have taken place
    bool m_isWaiting = false;
    bool m_isStreaming = false; // the caller has the head of a stream
    bool m_isFinished = false;
    bool m_firstByteTimedOut = false;
    EventStreamSplitter m_events;
};

} // namespace quetzalyoke

#endif
