#ifndef QUETZALYOKE_APPS_ENTRY_REQUESTHANDLER_H
#define QUETZALYOKE_APPS_ENTRY_REQUESTHANDLER_H

#include "Apps/Entry/BackendAttempt.h"
#include "Apps/Entry/RequestAdmission.h"
#include "Serving/Requests/EventStreamSplitter.h"

namespace quetzalyoke {

/// \brief Handles one caller's request from its arrival to its final response.
///
/// At any time the request waits for a server or for the version that began its stream, has one
/// attempt in progress, or is finished. It may be refused as not executed, or sent to another
/// server, only if the attempt's request never left this gateway or the server states that it did
/// not run. After any other failed attempt, the route's kind and its retry limits decide whether
/// the request may be retried.
class RequestHandler : public Waiter,
                       public RunningRequest,
                       public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(EntryState &state, HttpServerConnection::Pointer callerConnection,
                   HttpRequest &&request);

    void start();
    bool retryDispatch() override;
    void endForStop() override { endWithoutResponse("stopping"); }

private:
    bool dispatch();
    bool isUnboundTakeUp() const;
    void determineStreamVersion();
    void onListConfirmed(bool isConfirmed);
    void lookUpStreamVersion();
    void onStreamVersionRead(const std::optional<SoftwareVersion> &stored);
    StreamKey streamKey() const;
    ServerChoice chooseServer(Instant now);
    ServerChoiceInput choiceInput(std::set<ServerName> excluded) const;
    bool lacksServerOfVersion() const;
    void enqueue(const AdmissionInput &input, const char *reason);
    void send(const ServerChoice &choice);
    bool goesOnWithStream() const;
    bool mustKnowIncarnation(bool isLimited) const;
    void checkIncarnation(bool isLimited);
    void onIncarnationChecked(ExchangeOutcome outcome, std::optional<Incarnation> found);
    bool isSentToServer() const;
    void abandonCheck();
    void sendToServer();
    bool mayStillSend() const;
    void beginRun();
    bool isKnownToCrash() const;
    Duration expectedDuration(Duration expectedFirst, Instant now) const;
    std::string buildBackendRequest(Duration left) const;

    ExchangeHooks::HeaderDecision onHeader(int status, const boost::beast::http::fields &fields);
    void recordServerLoad(const BackendResponseInfo &responseInfo);
    void onBody(std::string_view data);
    void abandonResponse();
    void onEnd(ExchangeOutcome outcome);
    void onFirstByte();
    void forward(std::string_view data);
    std::set<ServerName> excludedServers(Instant now) const;
    void onNotRun();
    void onResponseComplete();
    void onAttemptFailed(ExchangeOutcome outcome);
    bool mayRetry() const;
    bool hasUnsurvivedPart() const;
    bool tryConsumeRetry();
    void retryRequest(const ServerName &server, const char *reason);
    void recordPartSurvival(Instant now);
    void recordPossibleCrash(bool isChecked);
    void onCrashChecked(const ServerName &server, bool hasCrashed);
    void releaseWork(const BackendAttempt &attempt);
    void releaseAttempt();

    void setTimer();
    void onTimer();
    void onFirstByteTimeout();
    void onDeadline();
    void endWithoutResponse(const char *reason);
    void onCallerDisconnected();

    void refuse(int status, const char *reason, std::optional<Duration> retryAfter);
    void failAttempt(int status, const char *reason);
    void fail(int status, const char *reason);
    void finish(const char *outcome);
    Duration remainingTime(Instant now) const { return m_context.deadline - now; }
    Duration age() const { return steadyNow() - m_request.arrivedAt; }

    EntryState &m_state;
    HttpServerConnection::Pointer m_callerConnection;
    HttpRequest m_request;
    RequestContext m_context;
    std::optional<RequestUrgency> m_urgency; // once the request is admitted
    asio::steady_timer m_timer;
    std::unique_ptr<BackendAttempt> m_attempt;
    std::map<ServerName, Instant> m_excludedUntil; // servers not to be tried before that time
    HttpConnectionPool::Connections m_refusedOn; // connections on which servers refused the request
    int m_sentAttempts = 0; // attempts that reached a server
    int m_possibleRuns = 0; // attempts that a server may have executed
    RequestPermits::Number m_permitNumber = 0; // of the latest permit requested for this request
    /// Of the servers that wrote the stream's events, once the caller has got one.
    std::optional<SoftwareVersion> m_streamVersion;
    bool m_isWaiting = false;
    bool m_isStreaming = false; // the header of a stream was sent to the caller
    bool m_isAwaitingCrashCheck = false; // before the request may be sent to another server
    bool m_isFinished = false;
    bool m_firstByteTimedOut = false;
    EventStreamSplitter m_events;
};

} // namespace quetzalyoke

#endif
