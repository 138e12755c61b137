#include "Serving/Requests/AdmissionPolicy.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ModelName model("large");

// Engines of one service, each able to read prompts at the chooser's pace.
struct Site
{
    Site()
    {
        service.name = ServiceName("llm");
        service.engine.emplace();
        service.engine->slots = 64;
        service.engine->kvCacheTokens = 234'000;
        service.engine->models[model] = {model, 70'000, 66, 4, Milliseconds(1200)};
        route.kind = RouteKind::Stream;
        route.timeout = Milliseconds(5000);
        route.latencyObjective = Milliseconds(800);
    }

    void addServer(const std::string &name, const std::string &zone = "east")
    {
        ListedServer server;
        server.id = ServerName(name);
        server.service = service.name;
        server.zone = ZoneName(zone);
        server.address = "10.0.0.1:80";
        server.slots = 64;
        server.loadedModels[model];
        book.put(server, start);
    }

    RequestMetadata call(std::int64_t own) const
    {
        RequestMetadata call;
        call.model = model;
        call.promptTokens = Tokens(6300 + own);
        call.maxOutputTokens = Tokens(50);
        call.promptParts = {{1, Tokens(2500)}, {2, Tokens(3800)}, {next++, Tokens(own)}};
        return call;
    }

    ServerChoice choose(const RequestMetadata &call, std::set<ServerName> excluded = {},
                        Instant now = start)
    {
        chain = computePrefixHashes(call);
        return chooser.choose({&service, &call, &chain, std::move(excluded)}, book, now);
    }

    AdmissionDecision decide(const RequestMetadata &call, Duration waited = Duration(0))
    {
        const AdmissionInput input{&route, &service, &call, choose(call), waited, 5s - waited};
        return policy.decide(input, 0.5);
    }

    // Sends a call and keeps it at its server's prompt queue.
    void send(const RequestMetadata &call)
    {
        const ServerChoice choice = choose(call);
        chooser.recordRequestSent(choice.server, {&service, &call, &chain, {}});
        auto &own = book.find(choice.server)->ownWork;
        own.requestsInFlight += 1;
        own.prefillTokens += choice.prefillTokens;
        own.kvCacheTokens += choice.kvCacheTokens;
    }

    ServiceSpec service;
    Route route;
    ServerDirectory book{2s};
    ServerChooser chooser{ServerChooser::Settings(), ZoneName("east")};
    AdmissionPolicy policy{AdmissionPolicy::Settings()};
    std::vector<std::uint64_t> chain;
    mutable std::uint64_t next = 100;
};

} // namespace

TEST(AdmissionPolicyTest, sendsWhereThePromptIsCached)
{
    Site site;
    site.addServer("engine-1");
    site.addServer("engine-2");
    const RequestMetadata first = site.call(1000);
    const ServerName server = site.choose(first).server;
    site.chooser.recordRequestSent(server, {&site.service, &first, &site.chain, {}});
    const ServerChoice again = site.choose(site.call(1000));
    EXPECT_EQ(again.server, server);
    EXPECT_EQ(again.prefillTokens, 1000);
}

// Load pattern: a burst of calls on one model whose prompts share their beginning.
TEST(AdmissionPolicyTest, spreadsABurstOnceTheQueueOutweighsTheCache)
{
    Site site;
    site.addServer("engine-1");
    site.addServer("engine-2");
    for (int i = 0; i < 12; ++i)
        site.send(site.call(2900));
    const auto &one = site.book.find(ServerName("engine-1"))->ownWork;
    const auto &two = site.book.find(ServerName("engine-2"))->ownWork;
    EXPECT_GT(one.requestsInFlight, 0);
    EXPECT_GT(two.requestsInFlight, 0);
    EXPECT_LT(std::abs(one.prefillTokens - two.prefillTokens), 10'000);
}

// Load pattern: a burst beyond what all engines read within twice the objective. The plain
// baseline sends everything; then all of the later calls are late.
TEST(AdmissionPolicyTest, turnsAwayAtOnceWhatWouldBeFarTooLate)
{
    Site site;
    site.addServer("engine-1");
    int sent = 0;
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestMetadata call = site.call(2900);
        const AdmissionDecision decision = site.decide(call);
        if (decision.action == AdmissionDecision::Action::Send) {
            site.send(call);
            ++sent;
            continue;
        }
        EXPECT_EQ(decision.action, AdmissionDecision::Action::Refuse);
        EXPECT_GT(decision.retryAfter, Duration(0));
        EXPECT_LE(decision.retryAfter, 1500ms); // 0.3 of the time left
        ++refused;
    }
    EXPECT_GT(refused, 0);
    const double queuedMs
        = static_cast<double>(site.book.find(ServerName("engine-1"))->ownWork.prefillTokens) / 38;
    EXPECT_LE(queuedMs, 2 * 800 + 100);
    EXPECT_GT(sent, 15);
}

TEST(AdmissionPolicyTest, holdsARequestForAnAdapterButNotForLong)
{
    Site site;
    site.addServer("engine-1");
    RequestMetadata call = site.call(600);
    call.adapter = AdapterName("a1");
    EXPECT_EQ(site.decide(call).action, AdmissionDecision::Action::Wait);
    // 15% of the time that the request has, five seconds here.
    EXPECT_EQ(site.decide(call, 700ms).action, AdmissionDecision::Action::Wait);
    EXPECT_EQ(site.decide(call, 760ms).action, AdmissionDecision::Action::Refuse);
}

// However much time a caller has, a stream that has not begun is given up after two seconds.
TEST(AdmissionPolicyTest, holdsNoRequestBeyondItsCallersPatience)
{
    Site site;
    site.addServer("engine-1");
    const RequestMetadata call = site.call(600);
    site.book.find(ServerName("engine-1"))->ownWork.requestsInFlight = 64;
    const auto step = [&](Duration waited, Duration left) {
        const AdmissionInput input{&site.route,       &site.service, &call,
                                   site.choose(call), waited,        left};
        return site.policy.decide(input, 0.5).action;
    };
    EXPECT_EQ(step(1100ms, 60s), AdmissionDecision::Action::Wait);
    EXPECT_EQ(step(1300ms, 60s), AdmissionDecision::Action::Refuse);
    EXPECT_EQ(step(250ms, 20ms), AdmissionDecision::Action::Refuse);
}

// Load pattern: bursts of half a second fill all places of a model's only copy; callers who are
// sent away come back once. The baseline holds requests for a quarter of the objective.
TEST(AdmissionPolicyTest, servesCallersOfABurstWhoWouldBeSentAwayTwice)
{
    constexpr int slots = 8;
    constexpr Duration run = 500ms;
    constexpr Duration burstInterval = 4s;
    constexpr Duration length = 40s;
    struct Caller
    {
        Instant arrivedAt; ///< At the gateway, this time.
        Instant first;
        bool isBack = false;
    };
    struct Result
    {
        int served = 0;
        int inTime = 0;
        int lost = 0;
    };
    const auto play = [&](const AdmissionPolicy &policy) {
        Site site;
        site.addServer("engine-1");
        ListedServer listed = site.book.find(ServerName("engine-1"))->listed;
        listed.slots = slots;
        site.book.put(listed, start);
        ServerState &server = *site.book.find(listed.id);
        std::multimap<Instant, Caller> arrivals;
        for (Duration at{0}; at < length; at += 10ms) {
            // 60 a second in a burst, 6 else; the copy can serve 16.
            const bool isBurst = at % burstInterval < 500ms;
            if (isBurst ? at % 20ms < 10ms : at % 160ms < 10ms)
                arrivals.emplace(start + at, Caller{start + at, start + at});
        }
        std::vector<Caller> waiting;
        std::multiset<Instant> ends;
        Result result;
        // Whether the caller has stopped waiting.
        const auto tryOne = [&](Caller &caller, Instant now) {
            const RequestMetadata call = site.call(100);
            const Duration waited = now - caller.arrivedAt;
            const Duration left = caller.first + 5s - now;
            const AdmissionInput input{
                &site.route, &site.service, &call, site.choose(call, {}, now), waited, left};
            const AdmissionDecision decision = policy.decide(input, 0.5);
            if (decision.action == AdmissionDecision::Action::Wait)
                return false;
            if (decision.action == AdmissionDecision::Action::Send) {
                ++server.ownWork.requestsInFlight;
                ends.insert(now + run);
                ++result.served;
                result.inTime += now - caller.first < Duration(site.route.latencyObjective) ? 1 : 0;
            } else if (caller.isBack) {
                ++result.lost;
            } else {
                const Instant at = now + std::min(decision.retryAfter, left / 3);
                arrivals.emplace(at, Caller{at, caller.first, true});
            }
            return true;
        };
        for (Instant now = start; now < start + length + 10s; now += 10ms) {
            while (!ends.empty() && *ends.begin() <= now) {
                ends.erase(ends.begin());
                --server.ownWork.requestsInFlight;
            }
            while (!arrivals.empty() && arrivals.begin()->first <= now) {
                Caller caller = arrivals.begin()->second;
                arrivals.erase(arrivals.begin());
                if (!tryOne(caller, now))
                    waiting.push_back(caller);
            }
            if ((now - start) % 50ms == Duration(0))
                std::erase_if(waiting, [&](Caller &caller) { return tryOne(caller, now); });
        }
        return result;
    };
    AdmissionPolicy::Settings settings;
    const Result result = play(AdmissionPolicy(settings));
    settings.waitShareOfTimeout = 0;
    const Result baseline = play(AdmissionPolicy(settings));
    std::cout << "served " << baseline.served << " -> " << result.served << ", in time "
              << baseline.inTime << " -> " << result.inTime << ", lost " << baseline.lost << " -> "
              << result.lost << "\n";
    EXPECT_LT(result.lost, baseline.lost / 2);
    EXPECT_GE(result.inTime, baseline.inTime);
    EXPECT_EQ(result.served + result.lost, baseline.served + baseline.lost);
}

TEST(AdmissionPolicyTest, refusesAModelThatNobodyListsAtOnce)
{
    Site site;
    site.addServer("engine-1");
    RequestMetadata call = site.call(600);
    call.model = ModelName("unknown");
    EXPECT_EQ(site.decide(call).action, AdmissionDecision::Action::Refuse);
}

TEST(AdmissionPolicyTest, avoidsLeavingExcludedAndFailingServers)
{
    Site site;
    site.addServer("engine-1");
    site.addServer("engine-2");
    const RequestMetadata call = site.call(600);
    EXPECT_EQ(site.choose(call, {ServerName("engine-1")}).server, ServerName("engine-2"));
    auto &health = site.book.find(ServerName("engine-2"))->health;
    for (int i = 0; i < 8; ++i)
        health.recordFailure(ServerHealth::Failure::ErrorResponse, start);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(site.choose(site.call(600)).server, ServerName("engine-1"));
    ListedServer leaving = site.book.find(ServerName("engine-1"))->listed;
    leaving.isLeaving = true;
    site.book.put(leaving, start);
    EXPECT_EQ(site.choose(call).server, ServerName("engine-2"));
}

// Load pattern: requests for a model that no engine holds. They come back when it can be there:
// soon where an engine has it on its own disk.
TEST(AdmissionPolicyTest, callsBackSoonWhereAnEngineHasTheModelAtHand)
{
    Site site;
    site.service.engine->models[model]
        = {model, 70'000, 66, 4, Milliseconds(4000), Milliseconds(800)};
    site.route.timeout = Milliseconds(15'000);
    ListedServer server;
    server.id = ServerName("engine-1");
    server.service = site.service.name;
    server.zone = ZoneName("east");
    server.address = "10.0.0.1:80";
    server.slots = 64;
    site.book.put(server, start);
    const RequestMetadata call = site.call(100);
    const auto decide = [&site, &call] {
        const AdmissionInput input{&site.route, &site.service, &call, site.choose(call), 1s, 14s};
        return site.policy.decide(input, 0);
    };
    EXPECT_EQ(decide().action, AdmissionDecision::Action::Refuse);
    EXPECT_GE(decide().retryAfter, 4000ms);
    server.locallyStoredModels.insert(model);
    site.book.put(server, start);
    EXPECT_EQ(decide().action, AdmissionDecision::Action::Refuse);
    EXPECT_LE(decide().retryAfter, 1500ms);
    EXPECT_GE(decide().retryAfter, 800ms);
}

// Load pattern: every server of the service asks for a pause at its first request, each for
// another time, while requests keep coming.
TEST(AdmissionPolicyTest, leavesPausingServersAloneAndTellsCallersWhenTheFirstIsBack)
{
    constexpr int servers = 6;
    Site site;
    std::map<ServerName, int> asked;
    for (int i = 0; i < servers; ++i)
        site.addServer("engine-" + std::to_string(i));
    const Duration end = 4s;
    const auto pauseOf = [](int n) { return Duration(1s) + 400ms * n; };
    int waited = 0;
    int refused = 0;
    for (Duration at{0}; at < end; at += 2ms) {
        const Instant now = start + at;
        const RequestMetadata call = site.call(100);
        const ServerChoice choice = site.choose(call, {}, now);
        const AdmissionInput input{&site.route, &site.service, &call, choice, Duration(0), 5s};
        const AdmissionDecision decision = site.policy.decide(input, 0);
        if (decision.action == AdmissionDecision::Action::Send) {
            ServerState *server = site.book.find(choice.server);
            ASSERT_FALSE(server->isPaused(now));
            const int n = static_cast<int>(asked.size());
            if (++asked[choice.server] == 1)
                site.book.recordPause(choice.server, Incarnation(), now + pauseOf(n));
            continue;
        }
        ASSERT_EQ(choice.outcome, ServerChoice::Outcome::AllPaused);
        const Duration firstBack = start + 1s - now;
        if (decision.action == AdmissionDecision::Action::Wait) {
            ++waited;
            EXPECT_LE(firstBack, 200ms + 10ms); // a quarter of the objective
            continue;
        }
        ++refused;
        EXPECT_GE(decision.retryAfter, firstBack);
        EXPECT_LE(decision.retryAfter, firstBack + 110ms);
    }
    EXPECT_EQ(asked.size(), std::size_t(servers));
    EXPECT_GT(refused, 0);
    EXPECT_GT(waited, 0);
}
