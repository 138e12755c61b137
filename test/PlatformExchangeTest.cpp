#include "Adapters/Async/AsyncHttpServer.h"
#include "Apps/Entry/RequestHandler.h"
#include "LoopbackSocket.h"
#include "platform/PlatformProtocol.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

// A platform that has been read and is there.
class FakePlatform : public EntryPlatform
{
public:
    void start(Hooks) override { }
    void stop() override { }
    void refresh() override { }
    bool isLoaded() const override { return true; }
    bool isReachable() const override { return true; }
    StateVersions versions() const override { return {}; }
    void setFollowing(bool) override { }
    std::string changesSince(const StateVersions &) const override { return {}; }
    void applyChanges(const std::string &) override { }
    void readLease(LeaseReadHook) override { }
    void writeLease(const LeaseRow &, std::function<void(WriteOutcome, Version)>) override { }
    void join(const ListedGateway &,
              std::function<void(bool, const std::vector<ListedGateway> &)>) override
    { }
};

Route route(const std::string &prefix, RouteKind kind, int attempts, bool isResumable)
{
    Route route;
    route.name = prefix;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.timeout = Milliseconds(2000);
    route.latencyObjective = Milliseconds(400);
    route.maxAttempts = attempts;
    route.isResumable = isResumable;
    route.targets = {{ServiceName("app"), 1}};
    return route;
}

EntrySettings settings()
{
    EntrySettings settings;
    settings.instance = InstanceId("gateway-1");
    settings.zone = ZoneName("east");
    settings.retriesPerRequest = 0.2;
    settings.retryReserve = 50;
    settings.prefillTokensPerMs = 38;
    settings.processorShare = 1;
    return settings;
}

std::string event(int i)
{
    return "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
}

std::string chunk(const std::string &text)
{
    std::array<char, 16> buf{};
    std::snprintf(buf.data(), buf.size(), "%zx\r\n", text.size());
    return buf.data() + text + "\r\n";
}

const std::string signedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Stamp: s\r\n";
const std::string streamHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

class PlatformExchangeTest : public ::testing::Test
{
protected:
    PlatformExchangeTest()
        : state(settings(), loop, dialect, platform),
          gateway(
              loop, 16,
              {[this](const HttpServerConnection::Pointer &session, HttpRequest &&request) {
                   std::make_shared<RequestHandler>(state, session, std::move(request))->start();
                   if (afterStart)
                       afterStart();
               },
               [] { return HttpServerConnectionLimits(); }, [] { return false; },
               [](int, const char *) {}})
    {
        auto config = std::make_shared<ServingConfig>();
        config->version = Version(3);
        config->routesByHost["h.example"]
            = {route("/n/", RouteKind::NonIdempotent, 3, false),
               route("/i/", RouteKind::Idempotent, 2, false),
               route("/s/", RouteKind::Stream, 1, false), route("/r/", RouteKind::Stream, 2, true)};
        config->services[ServiceName("app")].name = ServiceName("app");
        ClientAccount account;
        account.name = AccountId("account");
        config->accounts[account.name] = account;
        config->accountsByKey["key"] = account.name;
        state.config = config;
        gateway.listen({"127.0.0.1", 0});
        addServer("a", first);
    }

    void addServer(const std::string &id, const ScriptedServer &server,
                   Incarnation incarnation = {})
    {
        ListedServer listed;
        listed.incarnation = incarnation;
        listed.id = ServerName(id);
        listed.service = ServiceName("app");
        listed.zone = ZoneName(id == "a" ? "east" : "west"); // the nearer one is tried first
        listed.address = server.address();
        listed.slots = 4;
        state.servers.put(listed, steadyNow());
    }

    // The answer to a request as the caller sees it.
    std::string ask(const std::string &path, const std::string &key = "key",
                    const std::string &until = "\r\n\r\n")
    {
        caller = std::make_unique<RawClient>(loop, gateway.port());
        caller->send("POST " + path
                     + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                       "Deadline-Ms: 1500\r\nApi-Key: "
                     + key + "\r\nContent-Length: 4\r\n\r\nbody");
        runUntil(
            loop,
            [&] {
                return caller->received().find(until) != std::string::npos || caller->isClosed();
            },
            3s);
        return caller->received();
    }
    static bool hasStatus(const std::string &response, int status)
    {
        return response.starts_with("HTTP/1.1 " + std::to_string(status));
    }

    asio::io_context loop;
    platform::PlatformProtocol dialect;
    FakePlatform platform;
    ScriptedServer first{loop};
    ScriptedServer second{loop};
    EntryState state;
    AsyncHttpServer gateway;
    std::unique_ptr<RawClient> caller;
    std::function<void()> afterStart; ///< Called once a request has been placed.
};

} // namespace

TEST_F(PlatformExchangeTest, answersWhatItsServerAnswers)
{
    first.setResponse(signedHead + "X: y\r\nContent-Length: 4\r\n\r\nfine");
    const std::string response = ask("/n/x", "key", "fine");
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_NE(response.find("X: y"), std::string::npos);
    EXPECT_NE(first.received().find("Tenant: account"), std::string::npos);
    EXPECT_EQ(first.received().find("key"), std::string::npos);
}

// It may have run: nothing is promised, and no other server gets it.
TEST_F(PlatformExchangeTest, neitherRepeatsNorRefusesACallThatMayHaveRun)
{
    addServer("b", second);
    first.setResponse("", ScriptedServer::End::Reset);
    EXPECT_TRUE(hasStatus(ask("/n/x"), 502));
    EXPECT_EQ(second.connections(), 0);
}

TEST_F(PlatformExchangeTest, repeatsAnIdempotentCallElsewhere)
{
    addServer("b", second);
    first.setResponse("", ScriptedServer::End::Reset);
    second.setResponse(signedHead + "Content-Length: 4\r\n\r\nfine");
    EXPECT_TRUE(hasStatus(ask("/i/x", "key", "fine"), 200));
}

TEST_F(PlatformExchangeTest, takesACallElsewhereThatItsServerTurnedDown)
{
    addServer("b", second);
    first.setResponse("HTTP/1.1 503 Busy\r\nAttempt-Id: id-1\r\nNot-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
    second.setResponse(signedHead + "Content-Length: 4\r\n\r\nfine");
    EXPECT_TRUE(hasStatus(ask("/n/x", "key", "fine"), 200));
}

TEST_F(PlatformExchangeTest, refusesACallThatReachedNoServerWithWhenToComeBack)
{
    ListedServer leaving = state.servers.find(ServerName("a"))->listed;
    leaving.isLeaving = true;
    state.servers.put(leaving, steadyNow());
    // Waiting requests are tried again by the gateway's tick, which the test stands in for.
    asio::steady_timer tick(loop, 300ms);
    tick.async_wait([this](const SystemErrorCode &) { state.waitQueue.retryDispatches(); });
    const std::string response = ask("/n/x");
    EXPECT_TRUE(hasStatus(response, 503));
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(first.connections(), 0);
}

TEST_F(PlatformExchangeTest, handsOnNoSuccessWithoutASignature)
{
    first.setResponse("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nContent-Length: 4\r\n\r\nfake");
    const std::string response = ask("/n/x");
    EXPECT_TRUE(hasStatus(response, 502));
    EXPECT_EQ(response.find("fake"), std::string::npos);
}

TEST_F(PlatformExchangeTest, skipsALateAnswerToAnotherRequest)
{
    first.setResponse("HTTP/1.1 200 OK\r\nAttempt-Id: id-0\r\nResponse-Stamp: s\r\n"
                      "Content-Length: 5\r\n\r\nother"
                      + signedHead + "Content-Length: 4\r\n\r\nfine");
    const std::string response = ask("/n/x", "key", "fine");
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_EQ(response.find("other"), std::string::npos);
}

TEST_F(PlatformExchangeTest, goesOnWithAResumableStreamAfterItsLastWholeEvent)
{
    addServer("b", second);
    first.setResponse(streamHead + chunk(event(1) + event(2) + "id: 3\nda"),
                      ScriptedServer::End::Close);
    second.setResponse(streamHead + chunk(event(3) + event(4)) + lastChunk);
    const std::string response = ask("/r/x", "key", lastChunk);
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_NE(second.received().find("Last-Event-Id: 2"), std::string::npos);
    for (int i = 1; i <= 4; ++i) {
        const auto at = response.find(event(i));
        ASSERT_NE(at, std::string::npos) << i;
        EXPECT_EQ(response.find(event(i), at + 1), std::string::npos) << i;
    }
}

TEST_F(PlatformExchangeTest, showsABrokenStreamToBeBroken)
{
    addServer("b", second);
    first.setResponse(streamHead + chunk(event(1)), ScriptedServer::End::Close);
    const std::string response = ask("/s/x", "key", lastChunk);
    EXPECT_NE(response.find(event(1)), std::string::npos);
    EXPECT_EQ(response.find(lastChunk), std::string::npos);
    EXPECT_TRUE(caller->waitForClose());
    EXPECT_EQ(second.connections(), 0);
}

TEST_F(PlatformExchangeTest, turnsDownUnknownKeysAndRoutesWithoutAskingAServer)
{
    EXPECT_TRUE(hasStatus(ask("/n/x", "other"), 401));
    EXPECT_TRUE(hasStatus(ask("/none/x"), 404));
    EXPECT_TRUE(hasStatus(ask("/nx"), 404));
    EXPECT_EQ(first.connections(), 0);
}

TEST_F(PlatformExchangeTest, refusesBeyondTheAccountsRate)
{
    auto config = std::make_shared<ServingConfig>(*state.config);
    config->accounts[AccountId("account")].ratePerSecond = 0.001;
    config->accounts[AccountId("account")].burst = 1;
    state.config = config;
    state.quotas.setConfig(*config, steadyNow());
    // Any credit at all lets a request through; the next one finds the debt.
    first.setResponse(signedHead + "Content-Length: 4\r\n\r\nfine");
    EXPECT_TRUE(hasStatus(ask("/n/x", "key", "fine"), 200));
    const std::string before = first.received();
    const std::string response = ask("/n/x");
    EXPECT_TRUE(hasStatus(response, 429));
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(first.received(), before);
}

TEST_F(PlatformExchangeTest, leavesItsServerAloneOnceTheCallerHasLeft)
{
    caller = std::make_unique<RawClient>(loop, gateway.port());
    caller->send(
        "GET /i/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nApi-Key: key\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [this] { return !first.received().empty(); }));
    EXPECT_EQ(state.servers.find(ServerName("a"))->ownWork.requestsInFlight, 1);
    caller->close();
    EXPECT_TRUE(runUntil(loop, [this] {
        return state.servers.find(ServerName("a"))->ownWork.requestsInFlight == 0;
    }));
}

const std::string fine = "Content-Length: 4\r\n\r\nfine";

TEST_F(PlatformExchangeTest, sendsNothingMoreToAServerOnceItsStreamsHeadSaysThatItLeaves)
{
    addServer("b", second);
    first.setResponse(signedHead + "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + chunk(event(1)));
    ask("/s/x", "key", event(1));
    const auto stream = std::move(caller);
    const std::string before = first.received();
    // A row of the platform's list that is older than the mark.
    addServer("a", first);
    second.setResponse(signedHead + fine);
    EXPECT_TRUE(hasStatus(ask("/i/x", "key", "fine"), 200));
    EXPECT_EQ(first.received(), before);
    // The next life under the same id, at the same address.
    addServer("a", first, Incarnation(1));
    first.setResponse(signedHead + fine);
    EXPECT_TRUE(hasStatus(ask("/i/x", "key", "fine"), 200));
    EXPECT_NE(first.received(), before);
}

TEST_F(PlatformExchangeTest, takesARequestElsewhereWhoseServerLeftBeforeItWasSent)
{
    addServer("b", second);
    second.setResponse(signedHead + fine);
    afterStart = [this] { state.servers.recordLeaving(ServerName("a"), Incarnation()); };
    EXPECT_TRUE(hasStatus(ask("/n/x", "key", "fine"), 200));
    EXPECT_TRUE(first.received().empty());
    EXPECT_EQ(state.servers.find(ServerName("a"))->health.failureShare(), 0);
}

TEST_F(PlatformExchangeTest, takesNoMarkFromAnAnswerToAnotherRequest)
{
    first.setResponse("HTTP/1.1 200 OK\r\nAttempt-Id: id-0\r\nResponse-Stamp: s\r\n"
                      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                      + signedHead + fine);
    EXPECT_TRUE(hasStatus(ask("/i/x", "key", "fine"), 200));
    EXPECT_FALSE(state.servers.find(ServerName("a"))->listed.isLeaving);
}

TEST_F(PlatformExchangeTest, leavesAServerAloneForThePauseThatItAsksFor)
{
    const std::string busy = "HTTP/1.1 503 Busy\r\nAttempt-Id: id-1\r\nNot-Executed: 1\r\n"
                             "Retry-After: 1.25\r\nContent-Length: 0\r\n\r\n";
    first.setResponse(busy);
    asio::steady_timer tick(loop, 300ms);
    tick.async_wait([this](const SystemErrorCode &) { state.waitQueue.retryDispatches(); });
    const std::string response = ask("/n/x");
    EXPECT_TRUE(hasStatus(response, 503));
    const auto at = response.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    const double seconds = std::stod(response.substr(at + 13));
    EXPECT_GT(seconds, 0.3);
    const std::string before = first.received();
    addServer("b", second);
    second.setResponse(signedHead + fine);
    EXPECT_TRUE(hasStatus(ask("/n/x", "key", "fine"), 200));
    EXPECT_EQ(first.received(), before);
}

// A resumable stream whose event never ends goes on elsewhere; one that can't is shown to be
// broken.
TEST_F(PlatformExchangeTest, endsAStreamWhoseEventNeverEnds)
{
    addServer("b", second);
    const std::string endless = chunk(std::string(60'000, 'x'));
    first.setRepeatingResponse(streamHead + chunk(event(1)) + chunk("id: 2\ndata: "), endless);
    second.setResponse(streamHead + chunk(event(2)) + lastChunk);
    const std::string response = ask("/r/x", "key", lastChunk);
    EXPECT_NE(response.find(event(1)), std::string::npos);
    EXPECT_NE(response.find(event(2)), std::string::npos);
    EXPECT_LT(response.size(), 10'000U);
    EXPECT_TRUE(runUntil(loop, [this] { return !first.isRepeating(); }));
    first.setRepeatingResponse(streamHead + chunk(event(1)), endless);
    ask("/s/x", "key", lastChunk);
    EXPECT_TRUE(caller->isClosed());
    EXPECT_EQ(caller->received().find(lastChunk), std::string::npos);
    EXPECT_TRUE(runUntil(loop, [this] { return !first.isRepeating(); }));
    EXPECT_LT(first.repeatedBytes(), 20'000'000U);
}

TEST_F(PlatformExchangeTest, collectsNoBodyWithoutEnd)
{
    first.setRepeatingResponse(signedHead + "\r\n",
                               std::string(60'000, 'x')); // ends with its connection
    EXPECT_TRUE(hasStatus(ask("/n/x"), 502));
    EXPECT_TRUE(runUntil(loop, [this] { return !first.isRepeating(); }));
    EXPECT_LT(first.repeatedBytes(), 20'000'000U);
}

// A stalled stream that sends a byte now and then ends with its caller's time, 1.5 s here.
TEST_F(PlatformExchangeTest, endsAStalledStreamWithItsCallersTime)
{
    first.setPacedResponse(streamHead + chunk(event(1)), chunk("x"), 50ms);
    const Instant begun = steadyNow();
    ask("/s/x", "key", lastChunk);
    EXPECT_TRUE(caller->isClosed());
    EXPECT_LT(steadyNow() - begun, Duration(2s));
    EXPECT_TRUE(runUntil(loop, [this] { return !first.isRepeating(); }));
}

TEST_F(PlatformExchangeTest, leavesASlowButSoundStreamWhereItIs)
{
    addServer("b", second);
    first.setPacedResponse(streamHead, chunk(event(1)), 400ms);
    const Instant begun = steadyNow();
    ask("/r/x", "key", lastChunk);
    EXPECT_GE(steadyNow() - begun, Duration(1400ms));
    EXPECT_EQ(second.connections(), 0);
}
