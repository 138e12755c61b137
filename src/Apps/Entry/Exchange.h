#ifndef QUETZALYOKE_APPS_ENTRY_EXCHANGE_H
#define QUETZALYOKE_APPS_ENTRY_EXCHANGE_H

#include "Adapters/Async/CallerSession.h"
#include "Apps/Entry/EntryState.h"
#include "Serving/EventScanner.h"

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
    struct Attempt
    {
        ServerName server;
        Incarnation incarnation;
        std::string address;
        std::shared_ptr<ClientConnection> connection;
        Instant sentAt;
        Duration expected{0};
        ServerWork work; ///< Counted at the server for this attempt.
        bool isForwarding = false; ///< The answer goes to the caller as it comes.
        bool firstByteSeen = false;
        int status = 0;
        BackendVerdict verdict;
        std::string fields;
        std::string body;
    };

    bool admit();
    bool checkAccount();
    bool checkQuota();
    bool checkCrashes();
    void pickService();
    bool place();
    void waitInLine();
    void send(const PlacementChoice &choice);
    Duration expectedRun(Duration expectedFirst, Instant now) const;
    std::string backendRequest(const ServerState &server, Duration left) const;

    ExchangeHooks::Head onHead(int status, const boost::beast::http::fields &fields);
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
    void releaseWork(const Attempt &attempt);
    void releaseAttempt();

    void setTimer();
    void onTimer();
    void onPatienceOver();
    void onGiveUp();
    void onCallerLeft();

    void refuse(int status, const char *reason, std::optional<Duration> retryAfter);
    void fail(int status, const char *reason);
    void finish(const char *outcome);
    Duration left(Instant now) const { return m_giveUpAt - now; }
    Duration age() const { return loopNow() - m_request.arrivedAt; }

    EntryState &m_state;
    CallerSession::Pointer m_session;
    CallerRequest m_request;
    ServingConfigPtr m_config; // the version that governs this request
    CallDescription m_call;
    std::vector<std::uint64_t> m_chain;
    const Route *m_route = nullptr;
    const ClientAccount *m_account = nullptr;
    const ServiceSpec *m_service = nullptr;
    Fingerprint m_fingerprint; // empty: not watched for crashes
    Instant m_giveUpAt;
    asio::steady_timer m_timer;
    std::unique_ptr<Attempt> m_attempt;
    std::map<ServerName, Instant> m_blocked; // not to be tried before
    int m_arrivals = 0; // at servers
    int m_runs = 0; // that may have taken place
    double m_charged = 0;
    int m_priority = 0;
    bool m_isWaiting = false;
    bool m_isStreaming = false; // the caller has the head of a stream
    bool m_isOver = false;
    bool m_patienceOver = false;
    EventScanner m_events;
};

} // namespace quetzalyoke

#endif
