#include "Adapters/Async/AsyncHttpServer.h"
#include "Adapters/Async/HandlerGuard.h"
#include "Apps/Entry/CrashRecordKeeper.h"
#include "Apps/Entry/PermitExchange.h"
#include "Apps/Entry/RequestHandler.h"
#include "Apps/Entry/StateExchange.h"
#include "Apps/Entry/StreamVersionKeeper.h"
#include "FakePlatform.h"
#include "LoopbackSocket.h"
#include "platform/PlatformProtocol.h"
#include "platform/ServerDecoder.h"

#include <gtest/gtest.h>

#include <list>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

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

std::string eventText(int i)
{
    return "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
}

std::string chunkText(const std::string &text)
{
    std::array<char, 16> buf{};
    std::snprintf(buf.data(), buf.size(), "%zx\r\n", text.size());
    return buf.data() + text + "\r\n";
}

const std::string signedHeader = "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Stamp: s\r\n";
const std::string streamHeader = signedHeader + "Transfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

class PlatformExchangeTest : public ::testing::Test
{
protected:
    PlatformExchangeTest()
        : state(settings(), loop, protocol, platform),
          gateway(
              loop, 16,
              {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                   std::make_shared<RequestHandler>(state, connection, std::move(request))->start();
                   if (afterStart)
                       afterStart();
               },
               [] { return HttpServerConnectionLimits(); }, [] { return false; },
               [](int, const char *) {}})
    {
        auto config = std::make_shared<ServingConfig>();
        config->version = Version(3);
        config->routesByHost["h.example"] = {route("/n/", RouteKind::NonIdempotent, 3, false),
                                             route("/i/", RouteKind::Idempotent, 2, false),
                                             route("/s/", RouteKind::Stream, 1, false),
                                             route("/r/", RouteKind::Stream, 2, true),
                                             route("/once/", RouteKind::Idempotent, 1, false),
                                             route("/once-resumable/", RouteKind::Stream, 1, true),
                                             route("/many/", RouteKind::Idempotent, 5, false)};
        config->services[ServiceName("app")].name = ServiceName("app");
        ClientAccount account;
        account.name = AccountId("account");
        config->accounts[account.name] = account;
        config->accountsByKey["key"] = account.name;
        state.config = config;
        gateway.listen({loopbackHost(), 0});
        addServer("a", firstServer);
        allowRetries();
    }

    // A gateway that has handled requests before may retry the next ones.
    void allowRetries()
    {
        for (int i = 0; i < 100; ++i)
            state.retryBudget(ServiceName("app")).onRequest();
    }

    void addServer(const std::string &id, const ScriptedServer &server,
                   Incarnation incarnation = {})
    {
        ListedServer listed;
        listed.incarnation = incarnation;
        listed.id = ServerName(id);
        listed.service = ServiceName("app");
        listed.softwareVersion = SoftwareVersion("v1");
        listed.zone = ZoneName(
            id == "a" ? "east" : "west"); // the server in the gateway's own zone is tried first
        listed.address = server.address();
        listed.slots = 4;
        state.servers.put(listed, steadyNow());
    }

    // Starts a server again under its id; nothing of earlier requests is on its connections.
    ScriptedServer &startAgain(const std::string &id)
    {
        ScriptedServer &server = startedServers.emplace_back(loop);
        server.limitReceiveBuffer();
        addServer(id, server, Incarnation(static_cast<std::int64_t>(startedServers.size())));
        state.servers.find(ServerName(id))->health.reset(steadyNow());
        return server;
    }

    // Sends a request as a caller and returns what is received until \a until has arrived.
    std::string sendRequest(const std::string &path, const std::string &key = "key",
                            const std::string &until = "\r\n\r\n", const std::string &fields = "")
    {
        return exchange("POST " + path
                            + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                              "Deadline-Ms: 1500\r\nApi-Key: "
                            + key + "\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
                        until);
    }
    // Sends a request whose body is more than the system buffers.
    std::string sendUpload(const std::string &path, const std::string &until)
    {
        const std::string body(4'000'000, 'u');
        return exchange("POST " + path
                            + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                              "Deadline-Ms: 1500\r\nApi-Key: key\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body,
                        until);
    }
    // Sends \a text as a caller and returns what is received until \a until has arrived.
    std::string exchange(const std::string &text, const std::string &until)
    {
        caller = std::make_unique<RawClient>(loop, gateway.port());
        caller->sendFromLoop(text);
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
    platform::PlatformProtocol protocol;
    FakePlatform platform;
    ScriptedServer firstServer{loop};
    ScriptedServer secondServer{loop};
    std::list<ScriptedServer> startedServers;
    EntryState state;
    AsyncHttpServer gateway;
    std::unique_ptr<RawClient> caller;
    std::function<void()> afterStart; ///< Called once the handling of a request has begun.
};

} // namespace

TEST_F(PlatformExchangeTest, forwardsTheServersResponse)
{
    firstServer.setResponse(signedHeader + "X: y\r\nContent-Length: 4\r\n\r\nfine");
    const std::string response = sendRequest("/n/x", "key", "fine");
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_NE(response.find("X: y"), std::string::npos);
    EXPECT_NE(firstServer.received().find("Tenant: account"), std::string::npos);
    EXPECT_EQ(firstServer.received().find("key"), std::string::npos);
}

// The request may have run, so it is neither refused as not executed nor sent to another server.
TEST_F(PlatformExchangeTest, neitherRetriesNorRefusesARequestThatMayHaveRun)
{
    addServer("b", secondServer);
    firstServer.setResponse("", ScriptedServer::End::Reset);
    EXPECT_TRUE(hasStatus(sendRequest("/n/x"), 502));
    EXPECT_EQ(secondServer.connections(), 0);
}

TEST_F(PlatformExchangeTest, retriesAnIdempotentRequestAtAnotherServer)
{
    addServer("b", secondServer);
    firstServer.setResponse("", ScriptedServer::End::Reset);
    secondServer.setResponse(signedHeader + "Content-Length: 4\r\n\r\nfine");
    EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
}

TEST_F(PlatformExchangeTest, sendsARequestThatHasNotRunToAnotherServer)
{
    addServer("b", secondServer);
    firstServer.setResponse("HTTP/1.1 503 Busy\r\nAttempt-Id: id-1\r\nNot-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
    secondServer.setResponse(signedHeader + "Content-Length: 4\r\n\r\nfine");
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
}

// A response that is given up counts against max_attempts, whatever part of it was wrong. The
// server has run the request.
TEST_F(PlatformExchangeTest, countsAttemptsWhoseResponseIsGivenUp)
{
    addServer("b", secondServer);
    secondServer.setResponse(signedHeader + "Content-Length: 4\r\n\r\nfine");
    const std::string longBody(16'384, 'x');
    struct Case
    {
        const char *path;
        std::string begin;
        std::string unit;
    };
    for (const Case &it :
         {Case{"/once/endless", streamHeader, chunkText(longBody)},
          Case{"/once/unsigned", "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nContent-Length: 0\r\n\r\n",
               ""},
          Case{"/once/encoded",
               signedHeader + "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", ""},
          Case{"/once-resumable/event", streamHeader, chunkText(longBody)}}) {
        state.servers.find(ServerName("a"))->health.reset(steadyNow());
        if (it.unit.empty())
            firstServer.setResponse(it.begin);
        else
            firstServer.setRepeatingResponse(it.begin, it.unit);
        EXPECT_TRUE(hasStatus(sendRequest(it.path), 502)) << it.path;
        EXPECT_EQ(secondServer.connections(), 0) << it.path;
    }
}

TEST_F(PlatformExchangeTest, refusesARequestThatReachedNoServerWithRetryAfter)
{
    ListedServer leaving = state.servers.find(ServerName("a"))->listed;
    leaving.isLeaving = true;
    state.servers.put(leaving, steadyNow());
    // This timer replaces the gateway's, which lets waiting requests try again.
    asio::steady_timer retryTimer(loop, 300ms);
    retryTimer.async_wait([this](const SystemErrorCode &) { state.waitQueue.retryDispatches(); });
    const std::string response = sendRequest("/n/x");
    EXPECT_TRUE(hasStatus(response, 503));
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(firstServer.connections(), 0);
}

TEST_F(PlatformExchangeTest, forwardsNoSuccessWithoutASignature)
{
    firstServer.setResponse("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nContent-Length: 4\r\n\r\nfake");
    const std::string response = sendRequest("/n/x");
    EXPECT_TRUE(hasStatus(response, 502));
    EXPECT_EQ(response.find("fake"), std::string::npos);
}

TEST_F(PlatformExchangeTest, skipsALateResponseToAnotherRequest)
{
    firstServer.setResponse("HTTP/1.1 200 OK\r\nAttempt-Id: id-0\r\nResponse-Stamp: s\r\n"
                            "Content-Length: 5\r\n\r\nother"
                            + signedHeader + "Content-Length: 4\r\n\r\nfine");
    const std::string response = sendRequest("/n/x", "key", "fine");
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_EQ(response.find("other"), std::string::npos);
}

TEST_F(PlatformExchangeTest, resumesAStreamAfterItsLastWholeEvent)
{
    addServer("b", secondServer);
    firstServer.setResponse(streamHeader + chunkText(eventText(1) + eventText(2) + "id: 3\nda"),
                            ScriptedServer::End::Close);
    secondServer.setResponse(streamHeader + chunkText(eventText(3) + eventText(4)) + lastChunk);
    const std::string response = sendRequest("/r/x", "key", lastChunk);
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_NE(secondServer.received().find("Last-Event-Id: 2"), std::string::npos);
    for (int i = 1; i <= 4; ++i) {
        const auto at = response.find(eventText(i));
        ASSERT_NE(at, std::string::npos) << i;
        EXPECT_EQ(response.find(eventText(i), at + 1), std::string::npos) << i;
    }
}

TEST_F(PlatformExchangeTest, closesTheCallersConnectionWhenAStreamBreaks)
{
    addServer("b", secondServer);
    firstServer.setResponse(streamHeader + chunkText(eventText(1)), ScriptedServer::End::Close);
    const std::string response = sendRequest("/s/x", "key", lastChunk);
    EXPECT_NE(response.find(eventText(1)), std::string::npos);
    EXPECT_EQ(response.find(lastChunk), std::string::npos);
    EXPECT_TRUE(caller->waitForClose());
    EXPECT_EQ(secondServer.connections(), 0);
}

// Such a stream has been broken off, however its connection ends.
TEST_F(PlatformExchangeTest, continuesAStreamThatEndedInsideAnEvent)
{
    addServer("b", secondServer);
    const std::string broken = eventText(1) + "id: 2\nda";
    const std::string unframed = signedHeader + "\r\n" + broken;
    const std::string framed = streamHeader + chunkText(broken) + lastChunk;
    const std::string rest = streamHeader + chunkText(eventText(2)) + lastChunk;
    for (const std::string &response : {unframed, framed}) {
        firstServer.setResponse(response, ScriptedServer::End::Close);
        secondServer.setResponse(rest);
        const std::string received = sendRequest("/r/x", "key", lastChunk);
        EXPECT_NE(received.find(eventText(1)), std::string::npos);
        EXPECT_NE(received.find(eventText(2)), std::string::npos);
        EXPECT_EQ(received.find("id: 2\nda\r\n"), std::string::npos);
        EXPECT_NE(received.find(lastChunk), std::string::npos);
    }
}

TEST_F(PlatformExchangeTest, showsTheCallerThatAStreamEndedInsideAnEvent)
{
    firstServer.setResponse(signedHeader + "\r\n" + eventText(1) + "id: 2\nda",
                            ScriptedServer::End::Close);
    const std::string received = sendRequest("/s/x", "key", lastChunk);
    EXPECT_NE(received.find(eventText(1)), std::string::npos);
    EXPECT_EQ(received.find("id: 2"), std::string::npos);
    EXPECT_EQ(received.find(lastChunk), std::string::npos);
    EXPECT_TRUE(caller->waitForClose());
    // The end of the connection is the end of a stream that has whole events only.
    firstServer.setResponse(signedHeader + "\r\n" + eventText(1), ScriptedServer::End::Close);
    EXPECT_NE(sendRequest("/s/x", "key", lastChunk).find(lastChunk), std::string::npos);
}

// A response without a length that is reset while the request is still being sent is not whole, on
// any kind of route.
TEST_F(PlatformExchangeTest, forwardsNoResponseThatIsResetDuringTheRequestAsWhole)
{
    struct Case
    {
        const char *path;
        std::string part;
        int status;
        std::string rest = {}; // of the other server, if the request may go there
    };
    const std::vector<Case> cases = {
        {"/n/x", "part", 502},
        {"/once/x", "part", 502},
        {"/i/x", "part", 200, signedHeader + "Content-Length: 4\r\n\r\nfine"},
        {"/s/x", "id: 1\nda", 502},
        {"/s/x", eventText(1), 200},
        {"/once-resumable/x", eventText(1), 200},
        {"/r/x", "id: 1\nda", 200,
         streamHeader + chunkText(eventText(1) + eventText(2)) + lastChunk},
        {"/r/x", eventText(1), 200, streamHeader + chunkText(eventText(2)) + lastChunk},
    };
    for (const Case &it : cases) {
        const bool isStream = it.part != "part";
        for (const auto delay : {0ms, 5ms, 30ms}) {
            SCOPED_TRACE(it.path + it.part + " after " + std::to_string(delay.count()) + " ms");
            startAgain("a").setResponseThenEnd(signedHeader + "\r\n" + it.part,
                                               ScriptedServer::End::Reset, delay);
            startAgain("b").setResponse(it.rest);
            const std::string response = sendUpload(it.path,
                                                    it.status != 200 ? "\r\n\r\n"
                                                        : isStream   ? lastChunk
                                                                     : "fine");
            EXPECT_TRUE(hasStatus(response, it.status)) << response;
            EXPECT_EQ(response.find("part"), std::string::npos);
            if (!isStream)
                continue;
            EXPECT_EQ(response.find(lastChunk) != std::string::npos, !it.rest.empty());
            EXPECT_EQ(response.find(eventText(2)) != std::string::npos, !it.rest.empty());
        }
    }
}

TEST_F(PlatformExchangeTest, forwardsAResponseThatEndsInOrderDuringTheRequest)
{
    for (const char *path : {"/n/x", "/i/x", "/s/x", "/r/x"}) {
        startAgain("a").setResponseThenEnd(signedHeader + "\r\n" + eventText(1),
                                           ScriptedServer::End::FinishUnread, 5ms);
        const std::string response = sendUpload(path, eventText(1));
        EXPECT_TRUE(hasStatus(response, 200)) << path << response;
        EXPECT_NE(response.find(eventText(1)), std::string::npos) << path;
    }
}

// Bytes that are no response are never forwarded, on any kind of route. A request that may not be
// repeated fails at once.
TEST_F(PlatformExchangeTest, forwardsNothingOfAnInvalidResponse)
{
    const std::string fields = "Attempt-Id: id-1\r\nResponse-Stamp: s\r\n";
    const std::string event = eventText(1);
    const std::string sound = streamHeader + chunkText("sound\n\n") + lastChunk;
    std::vector<std::string> invalid;
    const std::string length = "Content-Length: " + std::to_string(event.size()) + "\r\n";
    for (const std::string &framing : {length, std::string()}) {
        for (const char *status : {"000", "099", "600"})
            invalid.push_back(
                joined({"HTTP/1.1 ", status, " OK\r\n", fields, framing, "\r\n", event}));
        for (const char *field : {"X Y: 1", "X : 1", "X\x01: 1", "Content-Length : 2"})
            invalid.push_back(joined({signedHeader, field, "\r\n", framing, "\r\n", event}));
    }
    for (const std::string &response : invalid) {
        for (const auto end : {ScriptedServer::End::KeepOpen, ScriptedServer::End::Close}) {
            for (const std::string path : {"/n/x", "/once/x", "/s/x", "/once-resumable/x"}) {
                startAgain("a").setResponse(response, end);
                EXPECT_TRUE(hasStatus(sendRequest(path), 502)) << path << response;
            }
            for (const std::string path : {"/i/x", "/r/x"}) {
                allowRetries();
                startAgain("a").setResponse(response, end);
                startAgain("b").setResponse(sound);
                const std::string received = sendRequest(path, "key", "sound");
                EXPECT_TRUE(hasStatus(received, 200)) << path << response;
                EXPECT_EQ(received.find(event), std::string::npos) << path << response;
            }
            ListedServer gone = state.servers.find(ServerName("b"))->listed;
            gone.isLeaving = true;
            state.servers.put(gone, steadyNow());
        }
    }
}

TEST_F(PlatformExchangeTest, rejectsUnknownKeysAndRoutesWithoutContactingAServer)
{
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "other"), 401));
    EXPECT_TRUE(hasStatus(sendRequest("/none/x"), 404));
    EXPECT_TRUE(hasStatus(sendRequest("/nx"), 404));
    EXPECT_EQ(firstServer.connections(), 0);
}

TEST_F(PlatformExchangeTest, refusesBeyondTheAccountsRate)
{
    auto config = std::make_shared<ServingConfig>(*state.config);
    config->accounts[AccountId("account")].ratePerSecond = 0.001;
    config->accounts[AccountId("account")].burst = 1;
    state.config = config;
    state.quotas.setConfig(*config, steadyNow());
    // Any positive credit admits a request; the next request finds the credit below zero.
    firstServer.setResponse(signedHeader + "Content-Length: 4\r\n\r\nfine");
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
    const std::string before = firstServer.received();
    const std::string response = sendRequest("/n/x");
    EXPECT_TRUE(hasStatus(response, 429));
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(firstServer.received(), before);
}

TEST_F(PlatformExchangeTest, releasesTheServersWorkWhenTheCallerDisconnects)
{
    caller = std::make_unique<RawClient>(loop, gateway.port());
    caller->send(
        "GET /i/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nApi-Key: key\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [this] { return !firstServer.received().empty(); }));
    EXPECT_EQ(state.servers.find(ServerName("a"))->ownWork.requestsInFlight, 1);
    caller->close();
    EXPECT_TRUE(runUntil(loop, [this] {
        return state.servers.find(ServerName("a"))->ownWork.requestsInFlight == 0;
    }));
}

const std::string fineResponse = "Content-Length: 4\r\n\r\nfine";

TEST_F(PlatformExchangeTest, sendsNoRequestToAServerWhoseStreamHeaderSaysThatItLeaves)
{
    addServer("b", secondServer);
    firstServer.setResponse(signedHeader + "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + chunkText(eventText(1)));
    sendRequest("/s/x", "key", eventText(1));
    const auto stream = std::move(caller);
    const std::string before = firstServer.received();
    // The platform's list still has the row from before the server said that it leaves.
    addServer("a", firstServer);
    secondServer.setResponse(signedHeader + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
    EXPECT_EQ(firstServer.received(), before);
    // The next incarnation has the same id and the same address.
    addServer("a", firstServer, Incarnation(1));
    firstServer.setResponse(signedHeader + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
    EXPECT_NE(firstServer.received(), before);
}

TEST_F(PlatformExchangeTest, sendsARequestToAnotherServerIfTheFirstLeftBeforeSending)
{
    addServer("b", secondServer);
    secondServer.setResponse(signedHeader + fineResponse);
    afterStart = [this] { state.servers.recordLeaving(ServerName("a"), Incarnation()); };
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
    EXPECT_TRUE(firstServer.received().empty());
    EXPECT_EQ(state.servers.find(ServerName("a"))->health.failureShare(), 0);
}

TEST_F(PlatformExchangeTest, ignoresLeavingInAResponseToAnotherRequest)
{
    firstServer.setResponse("HTTP/1.1 200 OK\r\nAttempt-Id: id-0\r\nResponse-Stamp: s\r\n"
                            "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                            + signedHeader + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
    EXPECT_FALSE(state.servers.find(ServerName("a"))->listed.isLeaving);
}

TEST_F(PlatformExchangeTest, sendsNoRequestToAServerDuringThePauseItRequested)
{
    const std::string busy = "HTTP/1.1 503 Busy\r\nAttempt-Id: id-1\r\nNot-Executed: 1\r\n"
                             "Retry-After: 1.25\r\nContent-Length: 0\r\n\r\n";
    firstServer.setResponse(busy);
    asio::steady_timer retryTimer(loop, 300ms);
    retryTimer.async_wait([this](const SystemErrorCode &) { state.waitQueue.retryDispatches(); });
    const std::string response = sendRequest("/n/x");
    EXPECT_TRUE(hasStatus(response, 503));
    const auto at = response.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    const double seconds = std::stod(response.substr(at + 13));
    EXPECT_GT(seconds, 0.3);
    const std::string before = firstServer.received();
    addServer("b", secondServer);
    secondServer.setResponse(signedHeader + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
    EXPECT_EQ(firstServer.received(), before);
}

// A resumable stream whose event never ends is continued by another server; any other stream is
// shown to be broken.
TEST_F(PlatformExchangeTest, endsAStreamWhoseEventNeverEnds)
{
    addServer("b", secondServer);
    const std::string endless = chunkText(std::string(60'000, 'x'));
    firstServer.setRepeatingResponse(
        streamHeader + chunkText(eventText(1)) + chunkText("id: 2\ndata: "), endless);
    secondServer.setResponse(streamHeader + chunkText(eventText(2)) + lastChunk);
    const std::string response = sendRequest("/r/x", "key", lastChunk);
    EXPECT_NE(response.find(eventText(1)), std::string::npos);
    EXPECT_NE(response.find(eventText(2)), std::string::npos);
    EXPECT_LT(response.size(), 10'000U);
    EXPECT_TRUE(runUntil(loop, [this] { return !firstServer.isRepeating(); }));
    firstServer.setRepeatingResponse(streamHeader + chunkText(eventText(1)), endless);
    sendRequest("/s/x", "key", lastChunk);
    EXPECT_TRUE(caller->isClosed());
    EXPECT_EQ(caller->received().find(lastChunk), std::string::npos);
    EXPECT_TRUE(runUntil(loop, [this] { return !firstServer.isRepeating(); }));
    EXPECT_LT(firstServer.repeatedBytes(), 20'000'000U);
}

TEST_F(PlatformExchangeTest, limitsTheSizeOfAResponseBody)
{
    firstServer.setRepeatingResponse(signedHeader + "\r\n",
                                     std::string(60'000, 'x')); // without a length
    EXPECT_TRUE(hasStatus(sendRequest("/n/x"), 502));
    EXPECT_TRUE(runUntil(loop, [this] { return !firstServer.isRepeating(); }));
    EXPECT_LT(firstServer.repeatedBytes(), 20'000'000U);
}

// A stalled stream that sends a byte now and then ends at the caller's deadline, 1.5 s here.
TEST_F(PlatformExchangeTest, endsAStalledStreamAtTheCallersDeadline)
{
    firstServer.setPacedResponse(streamHeader + chunkText(eventText(1)), chunkText("x"), 50ms);
    const Instant startedAt = steadyNow();
    sendRequest("/s/x", "key", lastChunk);
    EXPECT_TRUE(caller->isClosed());
    EXPECT_LT(steadyNow() - startedAt, Duration(2s));
    EXPECT_TRUE(runUntil(loop, [this] { return !firstServer.isRepeating(); }));
}

TEST_F(PlatformExchangeTest, keepsASlowButIntactStreamAtItsServer)
{
    addServer("b", secondServer);
    firstServer.setPacedResponse(streamHeader, chunkText(eventText(1)), 400ms);
    const Instant startedAt = steadyNow();
    sendRequest("/r/x", "key", lastChunk);
    EXPECT_GE(steadyNow() - startedAt, Duration(1400ms));
    EXPECT_EQ(secondServer.connections(), 0);
}

// The platform allows one and a half times the stated limit and 5 requests in any 4 seconds.
TEST_F(PlatformExchangeTest, sendsAServerNoMoreRequestsThanItsStatedLimitAllows)
{
    constexpr int maxRequestsIn4s = static_cast<int>(1.5 * 4 * 1) + 5;
    const std::string limited = signedHeader + "Server-Limit: 1\r\n" + fineResponse;
    const Instant startedAt = steadyNow();
    int served = 0;
    for (int i = 0; i < 40; ++i) {
        firstServer.setResponse(limited);
        const std::string response = sendRequest("/i/x");
        served += hasStatus(response, 200) ? 1 : 0;
        if (hasStatus(response, 200))
            continue;
        EXPECT_TRUE(hasStatus(response, 503));
        EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    }
    ASSERT_LT(steadyNow() - startedAt, Duration(4s));
    EXPECT_GE(served, 1);
    EXPECT_LE(served, maxRequestsIn4s);
}

// The gateway issues the permits itself.
TEST_F(PlatformExchangeTest, keepsAServerAtItsStatedLimitUntilItEnds)
{
    constexpr double limit = 40;
    constexpr Duration phase = 1500ms;
    PermitExchange permits(state,
                           {[] { return true; }, [](const auto &) { return false; },
                            [](const auto &, const auto &) {}});
    state.onPermitNeeded = [&](const ServerName &server) { return permits.requestPermit(server); };
    // This timer replaces the gateway's.
    asio::steady_timer timer(loop);
    const std::function<void()> tick = [&] {
        state.waitQueue.retryDispatches();
        timer.expires_after(10ms);
        timer.async_wait([&](const SystemErrorCode &ec) {
            if (!ec)
                tick();
        });
    };
    tick();
    const auto countServed = [&](const std::string &header) {
        int served = 0;
        for (const Instant end = steadyNow() + phase; steadyNow() < end;) {
            firstServer.setResponse(header + fineResponse);
            served += hasStatus(sendRequest("/i/x"), 200) ? 1 : 0;
        }
        return served;
    };
    const double allowed = limit * toSeconds(phase);
    const int limited = countServed(signedHeader + "Server-Limit: 40\r\n");
    EXPECT_GE(limited, 0.7 * allowed);
    EXPECT_LE(limited, 1.5 * allowed + 5);
    EXPECT_EQ(state.servers.find(ServerName("a"))->health.failureShare(), 0);
    EXPECT_GT(countServed(signedHeader), 2 * allowed);
}

// The limit was stated while the request's connection was being established.
TEST_F(PlatformExchangeTest, withholdsARequestWhoseServerStatesALimitBeforeSending)
{
    addServer("b", secondServer);
    secondServer.setResponse(signedHeader + fineResponse);
    afterStart = [this] {
        ServerState *server = state.servers.find(ServerName("a"));
        server->requestLimit.recordResponse(RequestRate(0.1), steadyNow(), steadyNow());
    };
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
    EXPECT_TRUE(firstServer.received().empty());
    EXPECT_EQ(state.servers.find(ServerName("a"))->health.failureShare(), 0);
}

// The zone is evacuated while the request's connection is being established.
TEST_F(PlatformExchangeTest, withholdsARequestWhoseServerIsEvacuatedBeforeSending)
{
    addServer("b", secondServer);
    secondServer.setResponse(signedHeader + fineResponse);
    afterStart = [this] {
        state.servers.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, steadyNow());
    };
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
    EXPECT_TRUE(firstServer.received().empty());
    EXPECT_EQ(state.servers.find(ServerName("a"))->health.failureShare(), 0);
}

TEST_F(PlatformExchangeTest, refusesAtOnceWhenAllServersAreEvacuated)
{
    state.servers.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, steadyNow());
    const Instant sentAt = steadyNow();
    const std::string response = sendRequest("/i/x", "key", "evacuated");
    EXPECT_TRUE(hasStatus(response, 503)) << response;
    EXPECT_NE(response.find("evacuated"), std::string::npos);
    EXPECT_NE(response.find("Retry-After"), std::string::npos);
    EXPECT_LT(steadyNow() - sentAt, Duration(500ms));
    EXPECT_TRUE(firstServer.received().empty());
}

// A request that waits for a server must notice that the last ones are evacuated.
TEST_F(PlatformExchangeTest, refusesAWaitingRequestOnceAllServersAreEvacuated)
{
    state.servers.find(ServerName("a"))->ownWork.requestsInFlight = 1000;
    afterStart = [this] {
        EXPECT_EQ(state.waitQueue.size(), 1U);
        state.servers.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, steadyNow());
        state.waitQueue.retryDispatches();
    };
    const std::string response = sendRequest("/i/x", "key", "evacuated");
    EXPECT_TRUE(hasStatus(response, 503)) << response;
    EXPECT_NE(response.find("evacuated"), std::string::npos);
    EXPECT_TRUE(firstServer.received().empty());
}

// A request with a long limit may wait for longer than its gateway's shutdown takes. It must be
// refused before the process ends, not cut off.
TEST_F(PlatformExchangeTest, refusesAWaitingRequestBeforeTheShutdownEnds)
{
    state.servers.find(ServerName("a"))->ownWork.requestsInFlight = 1000;
    afterStart = [this] {
        EXPECT_EQ(state.waitQueue.size(), 1U);
        state.stop.begin(steadyNow() - 1s, 2400ms);
        state.waitQueue.retryDispatches();
        EXPECT_EQ(state.waitQueue.size(), 0U);
    };
    const std::string response = sendRequest("/i/x");
    EXPECT_TRUE(hasStatus(response, 503)) << response;
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(firstServer.received().empty());
}

// Once the platform sends no new connections, a request is sent to a server only if its deadline
// comes before the process ends.
TEST_F(PlatformExchangeTest, sendsNoLateRequestThatMayOutlastTheProcess)
{
    const std::string sound = streamHeader + chunkText(eventText(1)) + lastChunk;
    for (const char *path : {"/n/x", "/i/x", "/s/x", "/r/x"}) {
        firstServer.setResponse(sound);
        state.stop.begin(steadyNow() - 3s, 5s); // ends running requests in 1.4 s
        const std::string before = firstServer.received();
        const std::string response = sendRequest(path);
        EXPECT_TRUE(hasStatus(response, 503)) << response;
        EXPECT_NE(response.find("Retry-After: "), std::string::npos);
        EXPECT_EQ(firstServer.received(), before);
        state.stop.begin(steadyNow() - 3s, 6s);
        EXPECT_TRUE(hasStatus(sendRequest(path, "key", eventText(1)), 200));
        state.stop.begin(steadyNow() - 2s, 4s);
        firstServer.setResponse(sound);
        EXPECT_TRUE(hasStatus(sendRequest(path, "key", eventText(1)), 200));
    }
}

TEST_F(PlatformExchangeTest, endsRunningRequestsBeforeTheProcess)
{
    const auto end = [this] { state.runningRequests.endAll(); };
    for (const char *path : {"/n/x", "/i/x", "/s/x", "/r/x"}) { // the server is silent
        asio::steady_timer timer(loop, 100ms);
        timer.async_wait([&](const SystemErrorCode &) { end(); });
        EXPECT_TRUE(hasStatus(sendRequest(path), 504)) << path;
        EXPECT_EQ(state.servers.find(ServerName("a"))->ownWork.requestsInFlight, 0);
    }
    firstServer.setResponse(streamHeader + chunkText(eventText(1)));
    sendRequest("/s/x", "key", eventText(1));
    end();
    EXPECT_TRUE(caller->waitForClose());
    EXPECT_EQ(caller->received().find(lastChunk), std::string::npos);
    // One that waits has not run.
    state.servers.find(ServerName("a"))->ownWork.requestsInFlight = 1000;
    afterStart = end;
    EXPECT_TRUE(hasStatus(sendRequest("/i/x"), 503));
}

// A resumable stream breaks off in a zone that is evacuated meanwhile.
TEST_F(PlatformExchangeTest, resumesNoStreamInAnEvacuatedZone)
{
    addServer("b", secondServer);
    firstServer.setResponse(streamHeader + chunkText(eventText(1)), ScriptedServer::End::Close);
    secondServer.setResponse(streamHeader + chunkText(eventText(2)) + lastChunk);
    afterStart = [this] {
        state.servers.applyEvacuation(ZoneName("west"), EvacuationChange::Begun, steadyNow());
    };
    const std::string response = sendRequest("/r/x", "key", lastChunk);
    EXPECT_NE(response.find(eventText(1)), std::string::npos);
    EXPECT_TRUE(caller->waitForClose());
    EXPECT_EQ(secondServer.connections(), 0);
}

namespace {

// Makes the servers of the service cold when they state it.
void setColdRate(EntryState &state, double perSecond)
{
    auto config = std::make_shared<ServingConfig>(*state.config);
    config->services[ServiceName("app")].coldRequestsPerSecond = perSecond;
    state.config = config;
    state.servers.setColdRules({{ServiceName("app"), {RequestRate(perSecond), 20s}}});
}

} // namespace

TEST_F(PlatformExchangeTest, limitsTheRequestsToAServerThatStatesThatItIsCold)
{
    setColdRate(state, 0.5);
    const ServerState &server = *state.servers.find(ServerName("a"));
    firstServer.setResponse(signedHeader + "Cold-Ms: 700000\r\n" + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
    EXPECT_FALSE(server.isCold(steadyNow()));
    firstServer.setResponse(signedHeader + "Cold-Ms: 60000\r\n" + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
    EXPECT_TRUE(server.isCold(steadyNow()));
    EXPECT_EQ(state.unsentLimitChanges.count(ServerName("a")), 1U);
    const std::string refusal = sendRequest("/i/x", "key", "limited");
    EXPECT_TRUE(hasStatus(refusal, 503)) << refusal;
    EXPECT_NE(refusal.find("Retry-After"), std::string::npos);
}

// The lease holder may not know yet that a server is cold, and the rate of a cold server must not
// become one that the server states.
TEST_F(PlatformExchangeTest, issuesPermitsAtTheLowerOfTheRatesThatItAndThePeerKnow)
{
    std::vector<wire::PeerPermitReply> replies;
    PermitExchange permits(
        state,
        {[] { return true; }, [](const auto &) { return false; },
         [&](const InstanceId &, const auto &reply) { replies.push_back(reply); }});
    const ServerState &server = *state.servers.find(ServerName("a"));
    wire::PeerPermitRequest request;
    request.server = "a";
    request.number = 1;
    request.requestsPerSecond = 6.9;
    request.__set_coldRequestsPerSecond(6.9);
    permits.onRequest(InstanceId("peer"), request);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_FALSE(replies.back().isGranted);
    EXPECT_GT(replies.back().retryAfterMs, 1000);
    EXPECT_FALSE(server.isLimited(steadyNow()));
    setColdRate(state, 0.5);
    state.coldServers.applyPeer(ServerName("a"), Incarnation(), 60s, "peer");
    EXPECT_TRUE(server.isCold(steadyNow()));
    permits.onRequest(InstanceId("peer"), request);
    EXPECT_GT(replies.back().retryAfterMs, 2000);
    EXPECT_FALSE(server.requestLimit.limit());
    EXPECT_EQ(server.requestRate(steadyNow()), RequestRate(0.5));
}

// A service without a rate for cold servers is served as before.
TEST_F(PlatformExchangeTest, sendsToAColdServerWithoutARate)
{
    const std::string cold = signedHeader + "Cold-Ms: 60000\r\n" + fineResponse;
    for (int i = 0; i < 5; ++i) {
        firstServer.setResponse(cold);
        EXPECT_TRUE(hasStatus(sendRequest("/i/x", "key", "fine"), 200));
    }
}

// The next process at the address may answer before the list shows that it has just started.
TEST_F(PlatformExchangeTest, countsAServerThatRefusesConnectionsAsColdWhenItReturns)
{
    setColdRate(state, 0.5);
    ListedServer ended = state.servers.find(ServerName("a"))->listed;
    ended.id = ServerName("ended");
    ended.address = "127.0.0.1:1";
    state.servers.put(ended, steadyNow());
    state.servers.remove(ServerName("a"), steadyNow());
    sendRequest("/n/x");
    EXPECT_TRUE(state.servers.find(ServerName("ended"))->isCold(steadyNow()));
}

// While the process was suspended, a server may have become cold.
TEST_F(PlatformExchangeTest, sendsNothingAfterASuspensionBeforeTheListIsConfirmed)
{
    setColdRate(state, 0.5);
    firstServer.setResponse(signedHeader + fineResponse);
    state.lastTickAt = steadyNow() - 10s;
    afterStart = [this] {
        EXPECT_EQ(state.waitQueue.size(), 1U);
        EXPECT_TRUE(firstServer.received().empty());
        state.lastTickAt = steadyNow();
        platform.onConfirm = [this] {
            ListedServer cold = state.servers.find(ServerName("a"))->listed;
            cold.coldTime = 60s;
            state.servers.put(cold, steadyNow());
        };
        state.awaitList(steadyNow() + 1s);
    };
    const std::string response = sendRequest("/i/x", "key", "limited");
    EXPECT_TRUE(hasStatus(response, 503)) << response;
    EXPECT_NE(response.find("limited"), std::string::npos);
    EXPECT_TRUE(firstServer.received().empty());
}

// A gateway before servers of which some crash.
class CrashExchangeTest : public PlatformExchangeTest
{
protected:
    static constexpr int serverCount = 16;

    CrashExchangeTest()
    {
        for (int i = 0; i < serverCount; ++i) {
            servers.push_back(std::make_unique<ScriptedServer>(loop));
            addServer("server-" + std::to_string(i), *servers.back());
        }
        state.servers.remove(ServerName("a"), steadyNow());
    }

    void setResponses(const std::string &script, ScriptedServer::End end)
    {
        for (const auto &server : servers)
            server->setResponse(script, end);
    }
    // Waits until the checks that follow a lost connection have ended. The check begins before the
    // response is sent.
    bool waitForCrashChecks()
    {
        return runUntil(loop, [this] { return state.crashCheck.isIdle(); });
    }
    int crashedServers() const
    {
        return static_cast<int>(std::count_if(servers.begin(), servers.end(),
                                              [](const auto &it) { return !it->isListening(); }));
    }

    std::vector<std::unique_ptr<ScriptedServer>> servers;
};

class CrashingPartExchangeTest : public CrashExchangeTest
{
protected:
    // Sends a request whose prompt has \a parts and one of its own. Every server responds with
    // \a script.
    std::string sendPrompt(const std::string &route, const std::string &parts,
                           const std::string &script, ScriptedServer::End end,
                           const std::string &until)
    {
        setResponses(script, end);
        const std::string own = std::to_string(++prompts);
        return sendRequest(route + own, "key", until,
                           "Prompt-Prefix: " + parts + "," + own + ":5\r\n");
    }
    std::string sendSound(const std::string &route, const std::string &parts)
    {
        return sendPrompt(route, parts, streamHeader + chunkText(eventText(1)) + lastChunk,
                          ScriptedServer::End::KeepOpen, lastChunk);
    }
    std::string sendCrashing(const std::string &route, const std::string &parts)
    {
        return sendPrompt(route, parts, streamHeader + chunkText("id: 1\nda"),
                          ScriptedServer::End::Crash, "\r\n\r\n");
    }
    // Waits until the checks that follow a lost connection have ended.
    bool waitForRefusal(const std::string &part)
    {
        return runUntil(loop, [&] { return state.crashDetector.mustRefuse({Fingerprint(part)}); });
    }

    int prompts = 0x1000;
};

// The platform allows three requests after the fifth crash.
TEST_F(CrashingPartExchangeTest, stopsSendingRequestsWithAPartThatCrashesServers)
{
    constexpr int maxCrashes = 5 + 3;
    EXPECT_TRUE(hasStatus(sendSound("/s/", "5:100"), 200));
    for (int i = 0; i < serverCount - 2; ++i) {
        sendCrashing("/s/", "5:100,dead:10");
        EXPECT_TRUE(hasStatus(sendSound("/s/", "5:100,aa:10"), 200)) << i;
    }
    EXPECT_LE(crashedServers(), maxCrashes);
    const std::string response = sendCrashing("/s/", "5:100,dead:10");
    EXPECT_TRUE(hasStatus(response, 503));
    EXPECT_NE(response.find("crashes_servers"), std::string::npos);
}

// The last part belongs to one request or session and is never guilty.
TEST_F(CrashingPartExchangeTest, doesNotSuspectTheLastPart)
{
    for (int i = 0; i < 3; ++i) {
        for (const auto &server : servers)
            server->setResponse(streamHeader, ScriptedServer::End::Crash);
        sendRequest("/s/" + std::to_string(i), "key", "\r\n\r\n", "Prompt-Prefix: dead:10\r\n");
    }
    EXPECT_TRUE(hasStatus(sendSound("/s/", "dead:10"), 200));
}

TEST_F(CrashingPartExchangeTest, doesNotCrashTheNextServerByRetryingAGuiltyRequest)
{
    EXPECT_TRUE(hasStatus(sendSound("/r/", "5:100"), 200));
    EXPECT_TRUE(hasStatus(sendCrashing("/r/", "5:100,dead:10"), 502));
    EXPECT_EQ(crashedServers(), 1);
}

TEST_F(CrashingPartExchangeTest, retriesASoundRequestWhoseServerCrashed)
{
    EXPECT_TRUE(hasStatus(sendSound("/r/", "5:100"), 200));
    addServer("a", firstServer); // in the gateway's own zone, so it is tried first
    firstServer.setResponse(streamHeader, ScriptedServer::End::Crash);
    const std::string whole = streamHeader + chunkText(eventText(1)) + lastChunk;
    for (const auto &server : servers)
        server->setResponse(whole);
    const std::string response
        = sendRequest("/r/x", "key", lastChunk, "Prompt-Prefix: 5:100,77:5\r\n");
    EXPECT_TRUE(hasStatus(response, 200));
    EXPECT_FALSE(firstServer.isListening());
}

// A response without length or chunks ends with its connection, and so does one that a crash ends.
TEST_F(CrashingPartExchangeTest, suspectsAPartAlsoIfTheCrashLooksLikeTheEndOfTheResponse)
{
    EXPECT_TRUE(hasStatus(sendSound("/s/", "5:100"), 200));
    for (int i = 0; i < 2; ++i)
        sendPrompt("/s/", "5:100,dead:10", signedHeader + "\r\n" + eventText(1),
                   ScriptedServer::End::Exit, lastChunk);
    EXPECT_TRUE(waitForRefusal("part-dead"));
    EXPECT_EQ(crashedServers(), 2);
    EXPECT_TRUE(hasStatus(sendSound("/s/", "5:100,aa:10"), 200));
}

// Connections to a server that lives are lost for many reasons.
TEST_F(CrashingPartExchangeTest, doesNotSuspectAPartWhoseServersLive)
{
    for (int i = 0; i < 4; ++i)
        sendPrompt("/r/", "5:100,bb:10", streamHeader, ScriptedServer::End::Reset, "\r\n\r\n");
    EXPECT_TRUE(hasStatus(sendSound("/s/", "5:100,bb:10"), 200));
}

// The gateway learns from a peer that a part crashes servers while a request waits.
TEST_F(CrashingPartExchangeTest, refusesAWaitingRequestOnceItsPartIsRefused)
{
    for (int i = 0; i < serverCount; ++i)
        state.servers.recordPause(ServerName("server-" + std::to_string(i)), Incarnation(),
                                  steadyNow() + 10s);
    afterStart = [this] {
        for (const char *incident : {"server-x/1", "server-y/1"})
            state.crashDetector.applyPeerNews(
                {{Fingerprint("part-dead"), incident, InstanceId("gateway-2")}, false},
                steadyNow());
        state.waitQueue.retryDispatches();
    };
    const std::string response
        = sendRequest("/s/x", "key", "\r\n\r\n", "Prompt-Prefix: dead:10,1:5\r\n");
    EXPECT_TRUE(hasStatus(response, 503));
    EXPECT_EQ(crashedServers(), 0);
}

TEST_F(CrashingPartExchangeTest, sendsATrialToOneServerOnly)
{
    bool mayTry = false;
    state.mayTryCrashingRequests = [&mayTry] { return mayTry; };
    const std::string fields = "Prompt-Prefix: dead:10,1:5\r\n";
    const auto send = [&] {
        for (const auto &server : servers)
            server->setResponse(streamHeader, ScriptedServer::End::Crash);
        return sendRequest("/i/x", "key", "\r\n\r\n", fields);
    };
    const Instant past = steadyNow() - Duration(1h);
    for (const char *incident : {"server-x/1", "server-y/1"})
        state.crashDetector.applyPeerNews(
            {{Fingerprint("part-dead"), incident, InstanceId("gateway-2")}, false}, past);
    EXPECT_TRUE(hasStatus(send(), 503));
    mayTry = true;
    EXPECT_TRUE(hasStatus(send(), 502));
    EXPECT_EQ(crashedServers(), 1);
    EXPECT_TRUE(hasStatus(send(), 503));
}

// The platform allows three retries after the third crash, of a request that is known by its path,
// caller and body.
class CrashingRequestExchangeTest : public CrashExchangeTest
{
protected:
    using Suspects = CrashingRequestDetector::Suspects;
    static constexpr int maxCrashes = 3 + 3;

    std::string send(const std::string &method, const std::string &path, const std::string &body,
                     const std::string &until = "\r\n\r\n")
    {
        std::string text = method + " " + path
            + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 1500\r\n"
              "Api-Key: key\r\n";
        if (!body.empty())
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return exchange(text + "\r\n" + body, until);
    }
    std::string sendSound(const std::string &path)
    {
        setResponses(signedHeader + "Content-Length: 4\r\n\r\nfine", ScriptedServer::End::KeepOpen);
        return send("GET", path, "", "fine");
    }
    std::string sendCrashing(const std::string &method, const std::string &path,
                             const std::string &body)
    {
        setResponses("", ScriptedServer::End::Crash);
        const std::string response = send(method, path, body);
        EXPECT_TRUE(waitForCrashChecks());
        return response;
    }
};

TEST_F(CrashingRequestExchangeTest, stopsSendingARequestWithoutABodyThatCrashesServers)
{
    for (int i = 0; i < 6; ++i) {
        sendCrashing("GET", "/i/dead", "");
        EXPECT_TRUE(hasStatus(sendSound("/i/sound"), 200)) << i;
    }
    EXPECT_LE(crashedServers(), maxCrashes);
    EXPECT_TRUE(hasStatus(sendCrashing("GET", "/i/dead", ""), 503));
}

TEST_F(CrashingRequestExchangeTest, stopsSendingARequestWithABodyThatCrashesServers)
{
    for (const char *route : {"/i/", "/n/", "/r/"}) {
        const int before = crashedServers();
        for (int i = 0; i < 4; ++i)
            sendCrashing("POST", std::string(route) + "x", "dead");
        EXPECT_LE(crashedServers() - before, 3) << route;
        EXPECT_TRUE(hasStatus(sendCrashing("POST", std::string(route) + "x", "dead"), 503))
            << route;
    }
}

// The third server must not crash before it is known whether the second one has.
TEST_F(CrashingRequestExchangeTest, endsTwoServersAtMostByOneRequestWithManyAttempts)
{
    // An open connection to each server carries the next request at once.
    for (int i = 0; i < serverCount; ++i) {
        const Instant until = steadyNow() + 20ms;
        for (int k = 0; k < serverCount; ++k) {
            if (k != i)
                state.servers.recordPause(ServerName("server-" + std::to_string(k)), Incarnation(),
                                          until);
        }
        EXPECT_TRUE(hasStatus(sendSound("/i/sound"), 200));
        runUntil(
            loop, [] { return false; }, 25ms);
    }
    setResponses("", ScriptedServer::End::Crash);
    EXPECT_TRUE(hasStatus(send("GET", "/many/dead", ""), 502));
    EXPECT_LE(crashedServers(), 2);
}

TEST_F(CrashingRequestExchangeTest, refusesARequestAfterTwoCrashesOnAnyRoute)
{
    sendCrashing("GET", "/n/dead", "");
    EXPECT_EQ(crashedServers(), 1);
    EXPECT_TRUE(hasStatus(sendCrashing("GET", "/n/dead", ""), 502));
    EXPECT_EQ(crashedServers(), 2);
    sendCrashing("GET", "/i/other", "");
    EXPECT_EQ(crashedServers(), 4);
    EXPECT_TRUE(hasStatus(sendCrashing("GET", "/i/other", ""), 503));
}

TEST_F(CrashingRequestExchangeTest, stopsSendingAStreamThatCrashesServersLate)
{
    for (int i = 0; i < 4; ++i) {
        for (const auto &server : servers)
            server->setPacedResponse(streamHeader + chunkText(eventText(1)),
                                     chunkText(eventText(2)), 60ms);
        caller = std::make_unique<RawClient>(loop, gateway.port());
        caller->send("POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                     "Api-Key: key\r\nContent-Length: 4\r\n\r\ndead");
        EXPECT_TRUE(runUntil(loop, [this] {
            return caller->received().find(eventText(2)) != std::string::npos
                || hasStatus(caller->received(), 503);
        }));
        for (const auto &server : servers) {
            if (server->isRepeating())
                server->crash();
        }
        EXPECT_TRUE(runUntil(
            loop, [this] { return caller->isClosed() || hasStatus(caller->received(), 503); }));
        EXPECT_TRUE(waitForCrashChecks());
    }
    EXPECT_EQ(crashedServers(), 2);
}

// A silent server breaks no connection; the list shows that it is gone.
TEST_F(CrashingRequestExchangeTest, suspectsARequestWhoseServerLeavesTheListWhileItRuns)
{
    setResponses("", ScriptedServer::End::KeepOpen);
    for (int i = 0; i < 2; ++i) {
        caller = std::make_unique<RawClient>(loop, gateway.port());
        caller->send("GET /i/dead HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                     "Deadline-Ms: 1500\r\nApi-Key: key\r\n\r\n");
        ServerName server;
        ASSERT_TRUE(runUntil(loop, [&] {
            for (const auto &[id, it] : state.servers.servers()) {
                if (it.ownWork.requestsInFlight > 0)
                    server = id;
            }
            return !server.isEmpty()
                && std::any_of(servers.begin(), servers.end(),
                               [](const auto &it) { return !it->received().empty(); });
        }));
        state.crashDetector.recordServerLoss(server, Incarnation(), steadyNow());
        caller->close();
        ASSERT_TRUE(runUntil(
            loop, [&] { return state.servers.find(server)->ownWork.requestsInFlight == 0; }));
        state.servers.remove(server, steadyNow());
    }
    EXPECT_TRUE(hasStatus(send("GET", "/i/dead", ""), 503));
    EXPECT_TRUE(hasStatus(sendSound("/i/sound"), 200));
}

// All gateways may restart before the second crash, and there may be no lease holder after it.
TEST_F(CrashingRequestExchangeTest, keepsRecordsInTheStore)
{
    CrashRecordKeeper keeper(state);
    bool holdsLease = true;
    const auto isStored = [&](std::size_t count) {
        return runUntil(
            loop,
            [&] {
                keeper.tick(holdsLease);
                return platform.storedRecords.size() == count;
            },
            2s);
    };
    const Suspects suspects{Fingerprint("dead")};
    const auto crash = [&](const char *server) {
        state.crashDetector.recordConnectionLoss(suspects, ServerName(server), {}, steadyNow());
        state.crashDetector.recordServerLoss(ServerName(server), {}, steadyNow());
    };
    crash("server-x");
    EXPECT_TRUE(isStored(1));
    holdsLease = false;
    crash("server-y");
    EXPECT_TRUE(isStored(2));
    EntryState restarted(settings(), loop, protocol, platform);
    CrashRecordKeeper(restarted).tick(false);
    EXPECT_TRUE(restarted.crashDetector.mustRefuse(suspects));
}

// A request that others send as well ran beside the guilty one.
TEST_F(CrashingRequestExchangeTest, servesAnIdenticalRequestThatServersSurvive)
{
    EXPECT_TRUE(hasStatus(sendSound("/i/popular"), 200));
    for (int i = 0; i < 3; ++i) {
        sendCrashing("GET", "/i/popular", "");
        EXPECT_TRUE(hasStatus(sendSound("/i/popular"), 200)) << i;
    }
}

// Streams hold events from servers of one software version only, in one response and over a
// caller's tries.
class StreamVersionExchangeTest : public PlatformExchangeTest
{
protected:
    StreamVersionExchangeTest() { state.servers.remove(ServerName("a"), steadyNow()); }

    // Adds the entry of a server as the platform's list has it. The server in the gateway's own
    // zone is tried first.
    static void addVersion(EntryState &to, const std::string &id, const ScriptedServer &server,
                           const std::string &version, const std::string &zone = "west",
                           int incarnation = 0)
    {
        std::string problem;
        const auto listed = platform::decodeListedServer(
            id,
            R"({"service":"app","slots":4,"state":"ready","zone":")" + zone + R"(","version":)"
                + version + R"(,"born":)" + std::to_string(incarnation) + R"(,"address":")"
                + server.address() + "\"}",
            problem);
        ASSERT_TRUE(listed) << problem;
        to.servers.put(*listed, steadyNow());
    }
    // The first event is from server "old", which then ends.
    std::string beginStream()
    {
        addVersion(state, "old", firstServer, R"("v1")", "east");
        firstServer.setResponse(streamHeader + chunkText(eventText(1)), ScriptedServer::End::Crash);
        return sendRequest("/r/x", "key", lastChunk);
    }
    static std::string restOfStream() { return streamHeader + chunkText(eventText(2)) + lastChunk; }
    std::string takeUp(const std::string &resumes)
    {
        return sendRequest("/r/x", "key", lastChunk,
                           "Last-Event-Id: 1\r\nResumes: " + resumes + "\r\n");
    }

    // Lets the keeper of \a to use the store.
    void useStore(EntryState &to, std::chrono::milliseconds time = 300ms)
    {
        StreamVersionKeeper keeper(to);
        const Instant end = steadyNow() + time;
        runUntil(loop, [&] {
            keeper.tick(true);
            return steadyNow() >= end;
        });
    }
    // Sends the take-up to another gateway, which has just started.
    std::string takeUpElsewhere(EntryState &other, const std::string &resumes)
    {
        other.config = state.config;
        AsyncHttpServer otherGateway(
            loop, 16,
            {[&other](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                 std::make_shared<RequestHandler>(other, connection, std::move(request))->start();
             },
             [] { return HttpServerConnectionLimits(); }, [] { return false; },
             [](int, const char *) {}});
        otherGateway.listen({loopbackHost(), 0});
        RawClient client(loop, otherGateway.port());
        client.send("POST /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nApi-Key: key\r\n"
                    "Content-Length: 4\r\nLast-Event-Id: 1\r\nResumes: "
                    + resumes + "\r\n\r\nbody");
        runUntil(
            loop,
            [&] {
                return client.received().find(lastChunk) != std::string::npos
                    || hasStatus(client.received(), 503);
            },
            3s);
        return client.received();
    }

    ScriptedServer thirdServer{loop};
    EntryState other{settings(), loop, protocol, platform}; // of a second gateway
};

// Callers come back at any gateway, also after all of them were killed at once.
TEST_F(StreamVersionExchangeTest, takesAStreamUpAtAGatewayThatHasJustStarted)
{
    addVersion(state, "b", secondServer, R"("v1.1")");
    useStore(state);
    beginStream(); // of v1, whose only server ends
    useStore(state);
    addVersion(other, "b", secondServer, R"("v1.1")", "east");
    secondServer.setResponse(restOfStream());
    useStore(other);
    // The server of v1 has left the list, but its streams may still be taken up.
    EXPECT_TRUE(hasStatus(takeUpElsewhere(other, "id-1"), 503));
    EXPECT_EQ(secondServer.connections(), 0);
    addVersion(other, "c", thirdServer, R"("v1")");
    thirdServer.setResponse(restOfStream());
    EXPECT_TRUE(hasStatus(takeUpElsewhere(other, "id-1"), 200));
    EXPECT_EQ(secondServer.connections(), 0);
}

// With two versions an unknown stream may be of either.
TEST_F(StreamVersionExchangeTest, refusesAnUnknownStreamOnlyIfThereAreSeveralVersions)
{
    addVersion(state, "b", secondServer, R"("v1")");
    secondServer.setResponse(restOfStream());
    useStore(state);
    EXPECT_TRUE(hasStatus(takeUp("unknown"), 200));
    addVersion(state, "c", thirdServer, R"("v1.1")");
    useStore(state);
    EXPECT_TRUE(hasStatus(takeUp("unknown-too"), 503));
    // The earlier one went on at v1, which binds it.
    secondServer.setResponse(restOfStream());
    EXPECT_TRUE(hasStatus(takeUp("unknown"), 200));
    EXPECT_EQ(thirdServer.connections(), 0);
}

// The stream may be of the version whose server has left meanwhile.
TEST_F(StreamVersionExchangeTest, refusesATakeUpIfASecondVersionComesWhileItWaits)
{
    addVersion(state, "b", secondServer, R"("v1")");
    useStore(state);
    state.servers.find(ServerName("b"))->pausedUntil = steadyNow() + 80ms;
    thirdServer.setResponse(restOfStream());
    StreamVersionKeeper keeper(state);
    asio::steady_timer changeTimer(loop, 40ms);
    changeTimer.async_wait([&](const SystemErrorCode &) {
        EXPECT_EQ(secondServer.connections(), 0);
        state.servers.remove(ServerName("b"), steadyNow());
        addVersion(state, "c", thirdServer, R"("v1.1")");
        keeper.onListChanged();
        state.waitQueue.retryDispatches();
    });
    const std::string response = takeUp("unknown");
    EXPECT_TRUE(hasStatus(response, 503));
    EXPECT_NE(response.find("unknown_stream_version"), std::string::npos) << response;
    EXPECT_EQ(thirdServer.connections(), 0);
}

// Until the store has answered, a version that has come since the reader's last response is not
// known.
TEST_F(StreamVersionExchangeTest, countsSeveralVersionsForAMomentWhenTheReaderOfTheListHasFailed)
{
    addVersion(state, "b", secondServer, R"("v1")");
    useStore(state);
    const auto peer = [this](const std::string &name, double share) {
        return StatePeer{
            {InstanceId(name), ZoneName("east"), true, true, share}, thirdServer.address(), {}};
    };
    StateExchange exchange(state, [&] {
        return std::vector<StatePeer>{peer("reader", 3), peer("other", 2)};
    });
    exchange.replicator().tick(); // polls the reader
    ASSERT_TRUE(runUntil(loop, [this] { return !thirdServer.received().empty(); }));
    EXPECT_FALSE(state.mayHaveSeveralVersions());
    thirdServer.crash();
    EXPECT_TRUE(runUntil(
        loop, [this] { return state.mayHaveSeveralVersions(); }, 1s));
    EXPECT_TRUE(runUntil(
        loop, [this] { return !state.mayHaveSeveralVersions(); }, 500ms));
}

TEST_F(StreamVersionExchangeTest, continuesAStreamAtTheVersionThatBeganIt)
{
    addVersion(state, "b", secondServer, R"("v1.1")");
    addVersion(state, "c", thirdServer, R"("v1")");
    secondServer.setResponse(restOfStream());
    thirdServer.setResponse(restOfStream());
    const std::string response = beginStream();
    EXPECT_NE(response.find(eventText(2)), std::string::npos);
    EXPECT_EQ(secondServer.connections(), 0);
    EXPECT_NE(thirdServer.received().find("Last-Event-Id: 1"), std::string::npos);
}

// After the break of a stream the next server answers with something that is no part of it.
class BadContinuationExchangeTest : public StreamVersionExchangeTest
{
protected:
    BadContinuationExchangeTest()
    {
        auto config = std::make_shared<ServingConfig>(*state.config);
        for (Route &it : config->routesByHost["h.example"])
            it.maxAttempts = 3;
        state.config = config;
    }
    std::string streamWithContinuation(const std::string &response)
    {
        addVersion(state, "b", secondServer, R"("v1")", "west");
        secondServer.setResponse(response);
        const std::string received = beginStream();
        EXPECT_NE(secondServer.received().find("Last-Event-Id: 1"), std::string::npos);
        EXPECT_NE(received.find(eventText(1)), std::string::npos);
        EXPECT_EQ(received.find("oops"), std::string::npos) << received;
        EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
        return received;
    }
};

const std::string errorResponse = "HTTP/1.1 500 Oops\r\nAttempt-Id: id-1\r\nResponse-Stamp: t\r\n"
                                  "Content-Length: 4\r\n\r\noops";

class EachBadContinuationTest : public BadContinuationExchangeTest,
                                public ::testing::WithParamInterface<std::string>
{ };

TEST_F(BadContinuationExchangeTest, goesOnAtAThirdServer)
{
    addVersion(state, "c", thirdServer, R"("v1")", "west");
    thirdServer.setResponse(restOfStream());
    const std::string response = streamWithContinuation(errorResponse);
    EXPECT_NE(response.find(eventText(2)), std::string::npos);
    EXPECT_NE(response.find(lastChunk), std::string::npos);
}

// Guards against an error's text in the middle of a stream, or a stream that then looks complete.
TEST_P(EachBadContinuationTest, breaksTheStreamOffWithoutAnotherServer)
{
    EXPECT_EQ(streamWithContinuation(GetParam()).find(lastChunk), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Responses, EachBadContinuationTest,
    ::testing::Values(
        errorResponse,
        "HTTP/1.1 400 Oops\r\nAttempt-Id: id-1\r\nResponse-Stamp: t\r\n"
        "Content-Length: 4\r\n\r\noops",
        "HTTP/1.1 302 Oops\r\nAttempt-Id: id-1\r\nLocation: /oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 Oops\r\nAttempt-Id: id-1\r\nResponse-Stamp: t\r\n\r\n",
        "HTTP/1.1 206 Oops\r\nAttempt-Id: id-1\r\nResponse-Stamp: t\r\n"
        "Content-Length: 12\r\n\r\ndata: oops\n\n",
        signedHeader + "Content-Type: text/html\r\nContent-Length: 12\r\n\r\ndata: oops\n\n",
        signedHeader + "Content-Encoding: gzip\r\nContent-Length: 12\r\n\r\ndata: oops\n\n"));

// A server that has started again under its id is newer than its entry in the list for a while.
class RestartedServerExchangeTest : public StreamVersionExchangeTest
{
protected:
    RestartedServerExchangeTest()
    {
        auto config = std::make_shared<ServingConfig>(*state.config);
        config->services[ServiceName("app")].engine = EngineSpec();
        state.config = config;
    }
    static void setIncarnation(ScriptedServer &server, int incarnation)
    {
        const std::string body
            = R"({"seq":0,"models":[],"born":)" + std::to_string(incarnation) + "}";
        server.setResponseTo("GET /report",
                             "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    // The server of the gateway's zone is listed with incarnation 1, and so is the other one.
    std::string streamWithIncarnations(int first, int second)
    {
        setIncarnation(firstServer, first);
        setIncarnation(secondServer, second);
        addVersion(state, "old", firstServer, R"("v1")", "east", 1);
        addVersion(state, "b", secondServer, R"("v1")", "west", 1);
        addVersion(state, "c", thirdServer, R"("v1.1")");
        useStore(state); // where it finds the two versions
        firstServer.setResponse(streamHeader + chunkText(eventText(1)), ScriptedServer::End::Crash);
        secondServer.setResponse(restOfStream());
        return sendRequest("/r/x", "key", lastChunk);
    }
    bool isSecondAsked() const
    {
        return secondServer.received().find("POST /r/x") != std::string::npos;
    }
};

TEST_F(RestartedServerExchangeTest, continuesAStreamAtTheListedIncarnation)
{
    const std::string response = streamWithIncarnations(1, 1);
    EXPECT_NE(response.find(eventText(2)), std::string::npos);
    EXPECT_EQ(secondServer.connections(), 1);
}

TEST_F(RestartedServerExchangeTest, continuesNoStreamAtANewerIncarnation)
{
    EXPECT_EQ(streamWithIncarnations(1, 2).find(eventText(2)), std::string::npos);
    EXPECT_FALSE(isSecondAsked());
}

// Its stream would be taken for one of the listed version.
TEST_F(RestartedServerExchangeTest, beginsNoStreamAtANewerIncarnation)
{
    const std::string response = streamWithIncarnations(2, 1);
    EXPECT_EQ(firstServer.received().find("POST /r/x"), std::string::npos);
    EXPECT_EQ(response.find(eventText(1)), std::string::npos);
    EXPECT_NE(response.find(eventText(2)), std::string::npos); // of the other server
    EXPECT_TRUE(isSecondAsked());
}

// A server that serves requests but doesn't tell its incarnation begins streams, and continues
// none.
TEST_F(RestartedServerExchangeTest, beginsAStreamAtAServerThatTellsNoIncarnation)
{
    addVersion(state, "old", firstServer, R"("v1")", "east", 1);
    addVersion(state, "c", thirdServer, R"("v1.1")");
    useStore(state);
    for (const char *status : {"", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}) {
        firstServer.setResponseTo("GET /report", status);
        firstServer.setResponse(restOfStream());
        EXPECT_NE(sendRequest("/r/x", "key", lastChunk).find(lastChunk), std::string::npos);
        EXPECT_TRUE(hasStatus(takeUp("id-1"), 503));
    }
    EXPECT_EQ(state.servers.find(ServerName("old"))->ownWork.requestsInFlight, 0);
}

// Nothing has been sent yet, so the server is under no suspicion.
TEST_F(RestartedServerExchangeTest, endsACheckWhenTheCallerLeaves)
{
    addVersion(state, "old", firstServer, R"("v1")", "east", 1);
    addVersion(state, "c", thirdServer, R"("v1.1")");
    useStore(state);
    firstServer.setResponseTo("GET /report", "");
    caller = std::make_unique<RawClient>(loop, gateway.port());
    caller->send("POST /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nApi-Key: key\r\n"
                 "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [this] { return !firstServer.received().empty(); }));
    caller->close();
    EXPECT_TRUE(runUntil(loop, [this] {
        return state.servers.find(ServerName("old"))->ownWork.requestsInFlight == 0;
    }));
    EXPECT_EQ(firstServer.received().find("POST"), std::string::npos);
    EXPECT_EQ(state.servers.find(ServerName("old"))->health.failureShare(), 0);
}

namespace {

// A gateway that knows of one software version, perhaps since its list is old. Its server "b" is
// listed with incarnation 1.
class OutdatedListExchangeTest : public RestartedServerExchangeTest
{
protected:
    void listServer()
    {
        addVersion(state, "b", secondServer, R"("v1")", "west", 1);
        setIncarnation(secondServer, 1);
        secondServer.setResponse(restOfStream());
        useStore(state);
        ASSERT_FALSE(state.mayHaveSeveralVersions());
        tick();
    }

private:
    // What EntryGateway does at each tick.
    void tick()
    {
        state.listConfirmation.tick();
        m_timer.expires_after(20ms);
        m_timer.async_wait([this](const SystemErrorCode &ec) {
            if (!ec)
                tick();
        });
    }

    asio::steady_timer m_timer{loop};
};

} // namespace

// A gateway that is cut off or was suspended may not know that a second version has come. The
// stream began there through another gateway.
TEST_F(OutdatedListExchangeTest, refusesATakeUpIfItsListMayLackTheVersionThatBeganTheStream)
{
    listServer();
    ASSERT_FALSE(state.mayHaveSeveralVersions());
    platform.confirmsServers = false;
    const std::string response = takeUp("elsewhere");
    EXPECT_TRUE(hasStatus(response, 503)) << response;
    EXPECT_NE(response.find("unknown_stream_version"), std::string::npos) << response;
    EXPECT_EQ(secondServer.connections(), 0);
}

TEST_F(OutdatedListExchangeTest, looksForTheVersionIfTheStoreShowsASecondOneJustThen)
{
    listServer();
    platform.onConfirm = [this] {
        addVersion(state, "c", thirdServer, R"("v2")");
        state.serviceVersions.update(state.servers, steadyNow());
    };
    const std::string response = takeUp("elsewhere");
    EXPECT_TRUE(hasStatus(response, 503)) << response;
    EXPECT_EQ(secondServer.connections(), 0);
    EXPECT_EQ(thirdServer.connections(), 0);
}

TEST_F(OutdatedListExchangeTest, takesAStreamUpOnceTheStoreHasConfirmedTheOnlyVersion)
{
    listServer();
    EXPECT_NE(takeUp("elsewhere").find(eventText(2)), std::string::npos);
    EXPECT_EQ(platform.confirmations, 1);
}

// Without the store, a peer that is heard after the take-up shows that no other version has come.
TEST_F(OutdatedListExchangeTest, takesAStreamUpOnceThePeersHaveConfirmedTheOnlyVersion)
{
    listServer();
    platform.confirmsServers = false;
    const Instant heardAt = steadyNow() + 300ms;
    state.isListConfirmedByPeers
        = [heardAt](Instant time) { return heardAt >= time && steadyNow() >= heardAt; };
    EXPECT_NE(takeUp("elsewhere").find(eventText(2)), std::string::npos);
}

// The list of a gateway that knows of one version only may be older than its server.
TEST_F(OutdatedListExchangeTest, takesNoStreamUpAtAServerThatHasStartedAgainSinceItWasListed)
{
    listServer();
    setIncarnation(secondServer, 2);
    const std::string response = takeUp("elsewhere");
    EXPECT_EQ(response.find(eventText(2)), std::string::npos) << response;
    EXPECT_EQ(secondServer.received().find("Last-Event-Id"), std::string::npos);
}

TEST_F(StreamVersionExchangeTest, endsAStreamWithoutAnotherServerOfItsVersion)
{
    addVersion(state, "b", secondServer, R"("v1.1")");
    addVersion(state, "c", thirdServer, "7"); // unreadable: matches no stream
    secondServer.setResponse(restOfStream());
    thirdServer.setResponse(restOfStream());
    const std::string response = beginStream();
    EXPECT_NE(response.find(eventText(1)), std::string::npos);
    EXPECT_EQ(response.find(eventText(2)), std::string::npos);
    EXPECT_TRUE(caller->waitForClose());
    EXPECT_EQ(secondServer.connections() + thirdServer.connections(), 0);
}

TEST_F(StreamVersionExchangeTest, takesAStreamUpAtTheVersionThatBeganIt)
{
    beginStream();
    addVersion(state, "b", secondServer, R"("v1.1")", "east");
    secondServer.setResponse(restOfStream());
    // No server of the version is left: rejected at once, and truthfully.
    EXPECT_TRUE(hasStatus(takeUp("id-1"), 503));
    EXPECT_EQ(secondServer.connections(), 0);
    addVersion(state, "c", thirdServer, R"("v1")");
    thirdServer.setResponse(restOfStream());
    EXPECT_TRUE(hasStatus(takeUp("id-1"), 200));
    EXPECT_EQ(secondServer.connections(), 0);
}

// A faulty server writes an earlier refusal once more on a kept connection.
class RepeatedRefusalExchangeTest : public PlatformExchangeTest
{
protected:
    static std::string refusal(const std::string &idField)
    {
        return "HTTP/1.1 503 Busy\r\n" + idField
            + "Not-Executed: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
    }
    static std::string fine() { return signedHeader + "Content-Length: 4\r\n\r\nfine"; }
    static std::string answerOn(const std::string &path)
    {
        return path == "/s/x" ? streamHeader + chunkText(eventText(1)) + lastChunk : fine();
    }
    static std::string endOn(const std::string &path)
    {
        return path == "/s/x" ? lastChunk : "fine";
    }
};

TEST_F(RepeatedRefusalExchangeTest, believesNoRefusalWithoutTheRequestsIdOnAKeptConnection)
{
    for (const char *path : {"/n/x", "/i/x", "/s/x"}) {
        firstServer.setResponse(fine());
        EXPECT_TRUE(hasStatus(sendRequest("/n/first", "key", "fine"), 200));
        addServer("b", secondServer);
        secondServer.setResponse(fine());
        firstServer.setResponse(refusal("") + answerOn(path));
        EXPECT_TRUE(hasStatus(sendRequest(path, "key", endOn(path)), 200)) << path;
        EXPECT_EQ(secondServer.connections(), 0) << path;
        state.servers.remove(ServerName("b"), steadyNow());
    }
}

// The second send of the same request to the same server must not take it for its own answer.
TEST_F(RepeatedRefusalExchangeTest, sendsARefusedRequestAgainOnAnotherConnection)
{
    for (const char *path : {"/n/x", "/i/x", "/s/x"}) {
        state.pool.closeAllIdleConnections();
        firstServer.setResponse(refusal("Attempt-Id: id-1\r\n"));
        asio::steady_timer repeat(loop, 25ms);
        repeat.async_wait([this, path](const SystemErrorCode &) {
            firstServer.setResponse(answerOn(path));
            state.waitQueue.retryDispatches();
        });
        const int before = firstServer.connections();
        EXPECT_TRUE(hasStatus(sendRequest(path, "key", endOn(path)), 200)) << path;
        // On a connection that was used before, the copy would come first.
        EXPECT_GT(firstServer.connections(), before) << path;
    }
}

// A refused request must neither reach a server nor ask the lease holder for an adapter, whose name
// would become part of an order and of peers' datagrams.
TEST_F(PlatformExchangeTest, rejectsHeadersThatAreNoNamesAndGoesOn)
{
    for (int byte = 0; byte < 0x100; ++byte) {
        // The end of a line ends a header; the parser removes spaces around a value.
        if (byte == '\r' || byte == '\n')
            continue;
        for (const char *name : {"Model: m0/", "Resumes: x", "Attempt-Id: x", "Api-Key: key"}) {
            std::string text = "GET /n/x HTTP/1.1\r\nHost: h.example\r\n";
            text += std::string(name) + static_cast<char>(byte) + "y\r\n\r\n";
            const std::string response = exchange(text, "\r\n\r\n");
            const bool isPrintable = byte >= 0x20 && byte < 0x7f;
            if (!isPrintable)
                EXPECT_TRUE(hasStatus(response, 400)) << name << byte << ' ' << response;
            else
                EXPECT_TRUE(hasStatus(response, 401)) << name << byte << ' ' << response;
        }
    }
    for (const char *field : {"Token-Count: 9223372036854775807,9223372036854775807\r\n",
                              "Prompt-Prefix: 5:-1\r\n", "Deadline-Ms: -1\r\n"}) {
        const std::string response
            = exchange("GET /n/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: key\r\n"
                           + std::string(field) + "\r\n",
                       "bad_header");
        EXPECT_TRUE(hasStatus(response, 400)) << field;
        const std::string name(field, std::string_view(field).find(':'));
        EXPECT_NE(response.find("bad_header: " + name), std::string::npos) << response;
    }
    EXPECT_EQ(firstServer.connections(), 0);
    EXPECT_TRUE(state.unsentNeeds.empty());
    firstServer.setResponse(signedHeader + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));
}

// An exception costs the connection that it comes from, not the process or other connections.
TEST_F(PlatformExchangeTest, goesOnAfterAHandlerThrows)
{
    bool mustThrow = true;
    afterStart = [&mustThrow] {
        if (std::exchange(mustThrow, false))
            throw std::runtime_error("fault");
    };
    sendRequest("/n/x", "key", "fine");
    EXPECT_TRUE(caller->isClosed());
    firstServer.setResponse(signedHeader + fineResponse);
    EXPECT_TRUE(hasStatus(sendRequest("/n/x", "key", "fine"), 200));

    int calls = 0;
    asio::io_context other;
    asio::post(other, [] { throw std::runtime_error("fault"); });
    asio::post(other, [&calls] { ++calls; });
    EXPECT_NO_THROW(runGuarded(other));
    EXPECT_EQ(calls, 1);
}
