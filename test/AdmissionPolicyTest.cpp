#include "Serving/Requests/AdmissionPolicy.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ModelName model("large");

// Engines of one service, each of which processes prompts at the rate that the chooser assumes.
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
        directory.put(server, start);
    }

    RequestMetadata makeRequest(std::int64_t ownTokens) const
    {
        RequestMetadata metadata;
        metadata.model = model;
        metadata.promptTokens = Tokens(6300 + ownTokens);
        metadata.maxOutputTokens = Tokens(50);
        metadata.promptParts = {{1, Tokens(2500)}, {2, Tokens(3800)}, {next++, Tokens(ownTokens)}};
        return metadata;
    }

    ServerChoice choose(const RequestMetadata &metadata, std::set<ServerName> excluded = {},
                        Instant now = start)
    {
        prefixHashes = computePrefixHashes(metadata);
        return chooser.choose({&service, &metadata, &prefixHashes, std::move(excluded)}, directory,
                              now);
    }

    AdmissionDecision decide(const RequestMetadata &metadata, Duration waited = Duration(0))
    {
        const AdmissionInput input{&route,           &service, &metadata,
                                   choose(metadata), waited,   5s - waited};
        return policy.decide(input, 0.5);
    }

    // Sends a request, which then stays in the prompt queue of its server.
    void send(const RequestMetadata &metadata)
    {
        const ServerChoice choice = choose(metadata);
        chooser.recordRequestSent(choice.server, {&service, &metadata, &prefixHashes, {}});
        auto &own = directory.find(choice.server)->ownWork;
        own.requestsInFlight += 1;
        own.prefillTokens += choice.prefillTokens;
        own.kvCacheTokens += choice.kvCacheTokens;
    }

    ServiceSpec service;
    Route route;
    ServerDirectory directory{2s};
    ServerChooser chooser{ServerChooser::Settings(), ZoneName("east")};
    AdmissionPolicy policy{AdmissionPolicy::Settings()};
    std::vector<std::uint64_t> prefixHashes;
    mutable std::uint64_t next = 100;
};

} // namespace

TEST(AdmissionPolicyTest, sendsToTheServerThatHasCachedThePrompt)
{
    Site site;
    site.addServer("engine-1");
    site.addServer("engine-2");
    const RequestMetadata first = site.makeRequest(1000);
    const ServerName server = site.choose(first).server;
    site.chooser.recordRequestSent(server, {&site.service, &first, &site.prefixHashes, {}});
    const ServerChoice secondChoice = site.choose(site.makeRequest(1000));
    EXPECT_EQ(secondChoice.server, server);
    EXPECT_EQ(secondChoice.prefillTokens, 1000);
}

// Load pattern: a burst of requests for one model whose prompts share a prefix.
TEST(AdmissionPolicyTest, spreadsABurstOnceTheQueueOutweighsTheCache)
{
    Site site;
    site.addServer("engine-1");
    site.addServer("engine-2");
    for (int i = 0; i < 12; ++i)
        site.send(site.makeRequest(2900));
    const auto &firstWork = site.directory.find(ServerName("engine-1"))->ownWork;
    const auto &secondWork = site.directory.find(ServerName("engine-2"))->ownWork;
    EXPECT_GT(firstWork.requestsInFlight, 0);
    EXPECT_GT(secondWork.requestsInFlight, 0);
    EXPECT_LT(std::abs(firstWork.prefillTokens - secondWork.prefillTokens), 10'000);
}

// Load pattern: a burst that exceeds the prompts which all engines can process within twice the
// objective. If everything were sent, all later requests would be late.
TEST(AdmissionPolicyTest, refusesAtOnceWhatWouldBeFarTooLate)
{
    Site site;
    site.addServer("engine-1");
    int sent = 0;
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestMetadata metadata = site.makeRequest(2900);
        const AdmissionDecision decision = site.decide(metadata);
        if (decision.action == AdmissionDecision::Action::Send) {
            site.send(metadata);
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
        = static_cast<double>(site.directory.find(ServerName("engine-1"))->ownWork.prefillTokens)
        / 38;
    EXPECT_LE(queuedMs, 2 * 800 + 100);
    EXPECT_GT(sent, 15);
}

TEST(AdmissionPolicyTest, waitsForAnAdapterForABoundedTime)
{
    Site site;
    site.addServer("engine-1");
    RequestMetadata metadata = site.makeRequest(600);
    metadata.adapter = AdapterName("a1");
    EXPECT_EQ(site.decide(metadata).action, AdmissionDecision::Action::Wait);
    // 15% of the timeout of the request, which is five seconds here.
    EXPECT_EQ(site.decide(metadata, 700ms).action, AdmissionDecision::Action::Wait);
    EXPECT_EQ(site.decide(metadata, 760ms).action, AdmissionDecision::Action::Refuse);
}

// Callers give up a stream that has not begun within two seconds, whatever their timeout.
TEST(AdmissionPolicyTest, limitsTheWaitWhateverTheTimeout)
{
    Site site;
    site.addServer("engine-1");
    const RequestMetadata metadata = site.makeRequest(600);
    site.directory.find(ServerName("engine-1"))->ownWork.requestsInFlight = 64;
    const auto actionAfter = [&](Duration waited, Duration left) {
        const AdmissionInput input{&site.route,           &site.service, &metadata,
                                   site.choose(metadata), waited,        left};
        return site.policy.decide(input, 0.5).action;
    };
    EXPECT_EQ(actionAfter(1100ms, 60s), AdmissionDecision::Action::Wait);
    EXPECT_EQ(actionAfter(1300ms, 60s), AdmissionDecision::Action::Refuse);
    EXPECT_EQ(actionAfter(250ms, 20ms), AdmissionDecision::Action::Refuse);
}

// Load pattern: bursts of half a second fill all slots of a model's only replica, and refused
// callers retry once. In the baseline requests wait for a quarter of the objective only.
TEST(AdmissionPolicyTest, servesCallersWhoWouldBeRefusedTwice)
{
    constexpr int slots = 8;
    constexpr Duration run = 500ms;
    constexpr Duration burstInterval = 4s;
    constexpr Duration length = 40s;
    struct Caller
    {
        Instant arrivedAt; ///< Arrival of this attempt at the gateway.
        Instant first;
        bool isRetry = false;
    };
    struct Result
    {
        int served = 0;
        int inTime = 0;
        int lost = 0;
    };
    const auto simulate = [&](const AdmissionPolicy &policy) {
        Site site;
        site.addServer("engine-1");
        ListedServer listed = site.directory.find(ServerName("engine-1"))->listed;
        listed.slots = slots;
        site.directory.put(listed, start);
        ServerState &server = *site.directory.find(listed.id);
        std::multimap<Instant, Caller> arrivals;
        for (Duration at{0}; at < length; at += 10ms) {
            // 60 requests/s in a burst, 6 otherwise; the replica can serve 16.
            const bool isBurst = at % burstInterval < 500ms;
            if (isBurst ? at % 20ms < 10ms : at % 160ms < 10ms)
                arrivals.emplace(start + at, Caller{start + at, start + at});
        }
        std::vector<Caller> waiting;
        std::multiset<Instant> ends;
        Result result;
        // Returns whether the caller has stopped waiting.
        const auto tryCaller = [&](Caller &caller, Instant now) {
            const RequestMetadata metadata = site.makeRequest(100);
            const Duration waited = now - caller.arrivedAt;
            const Duration left = caller.first + 5s - now;
            const AdmissionInput input{&site.route, &site.service,
                                       &metadata,   site.choose(metadata, {}, now),
                                       waited,      left};
            const AdmissionDecision decision = policy.decide(input, 0.5);
            if (decision.action == AdmissionDecision::Action::Wait)
                return false;
            if (decision.action == AdmissionDecision::Action::Send) {
                ++server.ownWork.requestsInFlight;
                ends.insert(now + run);
                ++result.served;
                result.inTime += now - caller.first < Duration(site.route.latencyObjective) ? 1 : 0;
            } else if (caller.isRetry) {
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
                if (!tryCaller(caller, now))
                    waiting.push_back(caller);
            }
            if ((now - start) % 50ms == Duration(0))
                std::erase_if(waiting, [&](Caller &caller) { return tryCaller(caller, now); });
        }
        return result;
    };
    AdmissionPolicy::Settings settings;
    const Result result = simulate(AdmissionPolicy(settings));
    settings.waitShareOfTimeout = 0;
    const Result baseline = simulate(AdmissionPolicy(settings));
    std::cout << "served " << baseline.served << " -> " << result.served << ", in time "
              << baseline.inTime << " -> " << result.inTime << ", lost " << baseline.lost << " -> "
              << result.lost << "\n";
    EXPECT_LT(result.lost, baseline.lost / 2);
    EXPECT_GE(result.inTime, baseline.inTime);
    EXPECT_EQ(result.served + result.lost, baseline.served + baseline.lost);
}

TEST(AdmissionPolicyTest, refusesAnUnknownModelAtOnce)
{
    Site site;
    site.addServer("engine-1");
    RequestMetadata metadata = site.makeRequest(600);
    metadata.model = ModelName("unknown");
    EXPECT_EQ(site.decide(metadata).action, AdmissionDecision::Action::Refuse);
}

TEST(AdmissionPolicyTest, avoidsLeavingExcludedAndFailingServers)
{
    Site site;
    site.addServer("engine-1");
    site.addServer("engine-2");
    const RequestMetadata metadata = site.makeRequest(600);
    EXPECT_EQ(site.choose(metadata, {ServerName("engine-1")}).server, ServerName("engine-2"));
    auto &health = site.directory.find(ServerName("engine-2"))->health;
    for (int i = 0; i < 8; ++i)
        health.recordFailure(ServerHealth::Failure::ErrorResponse, start);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(site.choose(site.makeRequest(600)).server, ServerName("engine-1"));
    ListedServer leaving = site.directory.find(ServerName("engine-1"))->listed;
    leaving.isLeaving = true;
    site.directory.put(leaving, start);
    EXPECT_EQ(site.choose(metadata).server, ServerName("engine-2"));
}

// Load pattern: requests for a model that no engine has loaded. They are to be retried when it can
// be loaded, which is soon if an engine stores it on its own disk.
TEST(AdmissionPolicyTest, requestsAnEarlyRetryForALocallyStoredModel)
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
    site.directory.put(server, start);
    const RequestMetadata metadata = site.makeRequest(100);
    const auto decide = [&site, &metadata] {
        const AdmissionInput input{&site.route, &site.service, &metadata, site.choose(metadata), 1s,
                                   14s};
        return site.policy.decide(input, 0);
    };
    EXPECT_EQ(decide().action, AdmissionDecision::Action::Refuse);
    EXPECT_GE(decide().retryAfter, 4000ms);
    server.locallyStoredModels.insert(model);
    site.directory.put(server, start);
    EXPECT_EQ(decide().action, AdmissionDecision::Action::Refuse);
    EXPECT_LE(decide().retryAfter, 1500ms);
    EXPECT_GE(decide().retryAfter, 800ms);
}

// Load pattern: every server of the service asks for a pause at its first request, each for a
// different time, while requests keep arriving.
TEST(AdmissionPolicyTest, sendsNothingToPausedServersAndReportsWhenTheFirstResumes)
{
    constexpr int servers = 6;
    Site site;
    std::map<ServerName, int> requestsByServer;
    for (int i = 0; i < servers; ++i)
        site.addServer("engine-" + std::to_string(i));
    const Duration end = 4s;
    const auto pauseDuration = [](int n) { return Duration(1s) + 400ms * n; };
    int waited = 0;
    int refused = 0;
    for (Duration at{0}; at < end; at += 2ms) {
        const Instant now = start + at;
        const RequestMetadata metadata = site.makeRequest(100);
        const ServerChoice choice = site.choose(metadata, {}, now);
        const AdmissionInput input{&site.route, &site.service, &metadata, choice, Duration(0), 5s};
        const AdmissionDecision decision = site.policy.decide(input, 0);
        if (decision.action == AdmissionDecision::Action::Send) {
            ServerState *server = site.directory.find(choice.server);
            ASSERT_FALSE(server->isPaused(now));
            const int n = static_cast<int>(requestsByServer.size());
            if (++requestsByServer[choice.server] == 1)
                site.directory.recordPause(choice.server, Incarnation(), now + pauseDuration(n));
            continue;
        }
        ASSERT_EQ(choice.outcome, ServerChoice::Outcome::AllPaused);
        const Duration untilFirstResumes = start + 1s - now;
        if (decision.action == AdmissionDecision::Action::Wait) {
            ++waited;
            EXPECT_LE(untilFirstResumes, 200ms + 10ms); // a quarter of the objective
            continue;
        }
        ++refused;
        EXPECT_GE(decision.retryAfter, untilFirstResumes);
        EXPECT_LE(decision.retryAfter, untilFirstResumes + 110ms);
    }
    EXPECT_EQ(requestsByServer.size(), std::size_t(servers));
    EXPECT_GT(refused, 0);
    EXPECT_GT(waited, 0);
}

// Load pattern: the only server that has the model states a request limit, which is used up for a
// time.
TEST(AdmissionPolicyTest, refusesAtOnceIfARequestLimitIsUsedUpForLong)
{
    Site site;
    site.addServer("engine-0");
    const RequestMetadata metadata = site.makeRequest(100);
    const auto decide = [&](Duration untilPermit) {
        ServerState &server = *site.directory.find(ServerName("engine-0"));
        server.requestLimit.recordResponse(RequestRate(0.2), start, start);
        server.permits = RequestPermits();
        server.permits.recordRequest(1, start);
        server.permits.onDenied(1, untilPermit, start);
        const AdmissionInput input{&site.route, &site.service,
                                   &metadata,   site.choose(metadata, {}, start),
                                   Duration(0), 5s};
        return site.policy.decide(input, 0);
    };
    const AdmissionDecision refusal = decide(4s);
    EXPECT_EQ(refusal.action, AdmissionDecision::Action::Refuse);
    EXPECT_STREQ(refusal.reason, "limited");
    EXPECT_GE(refusal.retryAfter, Duration(4s));
    EXPECT_EQ(decide(50ms).action, AdmissionDecision::Action::Wait);
}

namespace {

// The decision on a request for a model that no engine has and that comes after \a timeUntilRoom.
AdmissionDecision decideWithoutModel(Milliseconds objective, Milliseconds timeout,
                                     Duration timeUntilRoom, Duration waited = Duration(0))
{
    Site site;
    ListedServer server;
    server.id = ServerName("engine-1");
    server.service = site.service.name;
    server.address = "10.0.0.1:80";
    site.directory.put(server, start);
    site.route.latencyObjective = objective;
    site.route.timeout = timeout;
    site.route.eventGapObjective = Milliseconds(400);
    const RequestMetadata metadata = site.makeRequest(100);
    AdmissionInput input{&site.route,           &site.service, &metadata,
                         site.choose(metadata), waited,        timeout - waited};
    input.timeUntilRoom = timeUntilRoom;
    return site.policy.decide(input, 0);
}

} // namespace

// Load pattern: requests for a model whose load takes 8.6 s. In the baseline they wait for a
// quarter of their objective, which can't help, and those whose limit of 20 s lets them wait are
// refused.
TEST(AdmissionPolicyTest, waitsForALoadThatEndsWithinTheTimeLeft)
{
    // The load ends after the time limit.
    EXPECT_EQ(decideWithoutModel(600ms, 5s, 8600ms).action, AdmissionDecision::Action::Refuse);
    EXPECT_GE(decideWithoutModel(600ms, 5s, 8600ms).retryAfter, 8600ms);
    // The caller can't return that late but may wait.
    EXPECT_EQ(decideWithoutModel(6s, 20s, 8600ms).action, AdmissionDecision::Action::Wait);
    EXPECT_EQ(decideWithoutModel(6s, 20s, 2s, 6600ms).action, AdmissionDecision::Action::Wait);
    // Overdue, so that it is expected to end after the time limit.
    EXPECT_EQ(decideWithoutModel(6s, 20s, 8600ms, 12s).action, AdmissionDecision::Action::Refuse);
}

// A request that has just been turned down by the only server of its model waits for it.
TEST(AdmissionPolicyTest, waitsForAnExcludedServerThatHasTheModel)
{
    Site site;
    site.addServer("engine-1");
    ListedServer other = site.directory.find(ServerName("engine-1"))->listed;
    other.id = ServerName("engine-2");
    other.loadedModels.clear();
    site.directory.put(other, start);
    const RequestMetadata metadata = site.makeRequest(100);
    ASSERT_EQ(site.choose(metadata, {ServerName("engine-1")}).outcome,
              ServerChoice::Outcome::NoModel);
    const auto actionAfter = [&](Duration waited) {
        const AdmissionInput input{&site.route, &site.service,
                                   &metadata,   site.choose(metadata, {ServerName("engine-1")}),
                                   waited,      5s - waited};
        return site.policy.decide(input, 0).action;
    };
    EXPECT_EQ(actionAfter(20ms), AdmissionDecision::Action::Wait);
    EXPECT_EQ(actionAfter(250ms), AdmissionDecision::Action::Refuse);
}

// A caller that abandons a stream after 3.2 s must not be kept waiting for longer, but may return.
TEST(AdmissionPolicyTest, letsACallerReturnWhenItsModelIsLoaded)
{
    const AdmissionDecision decision = decideWithoutModel(500ms, 15s, 4s);
    EXPECT_EQ(decision.action, AdmissionDecision::Action::Refuse);
    EXPECT_EQ(decision.retryAfter, 4s);
    // Returning as late as it can, the caller waits for the rest.
    const AdmissionDecision earlier = decideWithoutModel(500ms, 15s, 7s);
    EXPECT_EQ(earlier.action, AdmissionDecision::Action::Refuse);
    EXPECT_LE(earlier.retryAfter, 5s);
    EXPECT_GE(earlier.retryAfter, 4s);
}

TEST(AdmissionPolicyTest, waitsForALoadThatEndsWithinTheObjective)
{
    EXPECT_EQ(decideWithoutModel(1500ms, 15s, 1200ms).action, AdmissionDecision::Action::Wait);
    EXPECT_EQ(decideWithoutModel(600ms, 5s, 300ms).action, AdmissionDecision::Action::Wait);
}

// Load pattern: an adapter whose engines are busy with the load of a model. Other adapters are
// known to be loaded within milliseconds, but this one may still come; refusing the request after
// three times their mean refused ten requests of a calm day, where none was refused before.
TEST(AdmissionPolicyTest, waitsForAnAdapterUnlessAWaitHasEndedInVain)
{
    Site site;
    site.addServer("engine-1");
    RequestMetadata metadata = site.makeRequest(600);
    metadata.adapter = AdapterName("a1");
    const auto actionAfter = [&](Duration waited, Duration timeUntilRoom) {
        AdmissionInput input{&site.route,           &site.service, &metadata,
                             site.choose(metadata), waited,        5s - waited};
        input.timeUntilRoom = timeUntilRoom;
        return site.policy.decide(input, 0.5).action;
    };
    EXPECT_EQ(actionAfter(0ms, 40ms), AdmissionDecision::Action::Wait);
    EXPECT_EQ(actionAfter(230ms, 40ms), AdmissionDecision::Action::Wait);
    EXPECT_EQ(actionAfter(740ms, 40ms), AdmissionDecision::Action::Wait);
    EXPECT_EQ(actionAfter(760ms, 40ms), AdmissionDecision::Action::Refuse);
    EXPECT_EQ(actionAfter(0ms, 700ms), AdmissionDecision::Action::Wait);
    EXPECT_EQ(actionAfter(0ms, 2s), AdmissionDecision::Action::Refuse);
}

// Load pattern: more requests wait for slots than become free within the longest wait.
TEST(AdmissionPolicyTest, refusesAtOnceIfNoSlotBecomesFreeInTime)
{
    Site site;
    site.addServer("engine-1");
    const RequestMetadata metadata = site.makeRequest(600);
    site.directory.find(ServerName("engine-1"))->ownWork.requestsInFlight = 64;
    const auto decide = [&](Duration timeUntilRoom) {
        AdmissionInput input{&site.route,           &site.service, &metadata,
                             site.choose(metadata), Duration(0),   5s};
        input.timeUntilRoom = timeUntilRoom;
        return site.policy.decide(input, 0);
    };
    EXPECT_EQ(decide(300ms).action, AdmissionDecision::Action::Wait);
    EXPECT_EQ(decide(900ms).action, AdmissionDecision::Action::Refuse);
    EXPECT_EQ(decide(900ms).retryAfter, 900ms);
}

namespace {

// Decisions on a request for a server with a free slot.
struct ServerDecision
{
    AdmissionDecision operator()(Milliseconds objective, Milliseconds timeout, Duration expected,
                                 Duration waited = Duration(0))
    {
        Site site;
        site.route.latencyObjective = objective;
        site.route.timeout = timeout;
        site.route.eventGapObjective = Milliseconds(400);
        const RequestMetadata metadata = site.makeRequest(100);
        input.route = &site.route;
        input.service = &site.service;
        input.metadata = &metadata;
        input.serverChoice.outcome = ServerChoice::Outcome::Chosen;
        input.serverChoice.expectedTimeToFirstByte = expected;
        input.serverChoice.prefillTokens = prefillTokens;
        input.waited = waited;
        input.timeLeft = timeout - waited;
        return site.policy.decide(input, 0);
    }

    AdmissionInput input;
    std::int64_t prefillTokens = 9190; // 242 ms at the assumed pace
};

using Action = AdmissionDecision::Action;

} // namespace

// Load pattern: waves above the capacity. Sent up to twice the objective, everything would be late.
TEST(AdmissionPolicyTest, sendsOnlyWhatIsInTimeAboveTheCapacity)
{
    ServerDecision decide;
    decide.input.utilization = 1.2;
    EXPECT_EQ(decide(600ms, 5s, 700ms).action, Action::Refuse);
    EXPECT_STREQ(decide(600ms, 5s, 700ms).reason, "too_late");
    EXPECT_EQ(decide(600ms, 5s, 550ms).action, Action::Send);
    // One that has waited is not refused for being late, which would cost its caller most.
    EXPECT_EQ(decide(600ms, 5s, 700ms, 300ms).action, Action::Send);
    EXPECT_EQ(decide(600ms, 5s, 3s, 300ms).action, Action::Refuse);
    // Below the capacity, or if the demand is not known, the former bound holds.
    for (const std::optional<double> utilization : {std::optional<double>(0.5), {}}) {
        decide.input.utilization = utilization;
        EXPECT_EQ(decide(600ms, 5s, 1100ms).action, Action::Send);
        EXPECT_EQ(decide(600ms, 5s, 1300ms).action, Action::Refuse);
    }
}

// Load pattern: long prompts of a less urgent class fill the engines' queues up to their objective,
// so that short ones with a shorter objective are late.
TEST(AdmissionPolicyTest, leavesMoreUrgentRequestsInTime)
{
    ServerDecision decide;
    decide.input.utilization = 1.2;
    decide.input.urgentObjective = 500ms;
    EXPECT_EQ(decide(600ms, 5s, 440ms).action, Action::Send);
    EXPECT_EQ(decide(600ms, 5s, 460ms).action, Action::Refuse);
    // A prompt that is almost wholly cached delays nobody.
    decide.prefillTokens = 800;
    EXPECT_EQ(decide(600ms, 5s, 590ms).action, Action::Send);
}

// Load pattern: bulk work among urgent requests of its priority.
TEST(AdmissionPolicyTest, holdsDeferrableRequestsBackUntilTheyAge)
{
    ServerDecision decide;
    decide.input.utilization = 0.5;
    EXPECT_EQ(decide(6s, 20s, 600ms).action, Action::Send);
    decide.input.urgentObjective = 500ms;
    EXPECT_EQ(decide(6s, 20s, 260ms).action, Action::Send);
    EXPECT_EQ(decide(6s, 20s, 600ms).action, Action::Wait);
    EXPECT_STREQ(decide(6s, 20s, 600ms).reason, "yields");
    EXPECT_EQ(decide(6s, 20s, 600ms, 5s).action, Action::Send);
    EXPECT_EQ(decide(6s, 20s, 800ms, 5500ms).action, Action::Send);
    // While more urgent requests are refused it waits for half of its time, but no longer.
    decide.input.areMoreUrgentRefused = true;
    EXPECT_EQ(decide(6s, 20s, 260ms, 7s).action, Action::Wait);
    EXPECT_EQ(decide(6s, 20s, 260ms, 11s).action, Action::Send);
    decide.input.areMoreUrgentRefused = false;
    // The same if the demand exceeds the capacity: refusals may be at other gateways.
    decide.input.utilization = 1.2;
    EXPECT_EQ(decide(6s, 20s, 260ms, 7s).action, Action::Wait);
    EXPECT_EQ(decide(6s, 20s, 260ms, 11s).action, Action::Send);
    decide.input.utilization = 0.5;
    decide.input.freeSlotShare = 0.1;
    EXPECT_EQ(decide(6s, 20s, 260ms).action, Action::Wait);
    decide.input.freeSlotShare = 0.2;
    EXPECT_EQ(decide(6s, 20s, 260ms).action, Action::Send);
}

// Load pattern: requests of other accounts are refused while one account has twice the mean work.
TEST(AdmissionPolicyTest, anAccountInABurstLeavesRoomToOthers)
{
    ServerDecision decide;
    decide.input.utilization = 1.2;
    EXPECT_EQ(decide(600ms, 5s, 500ms).action, Action::Send);
    decide.input.accountExcess = 1;
    EXPECT_EQ(decide(600ms, 5s, 500ms).action, Action::Refuse);
    EXPECT_EQ(decide(600ms, 5s, 440ms).action, Action::Send);
}

// A class whose prompts take longer than the bound at an idle server must not be refused for ever.
TEST(AdmissionPolicyTest, sendsPromptsThatNoServerProcessesInTime)
{
    ServerDecision decide;
    decide.input.utilization = 1.2;
    decide.prefillTokens = 40'000; // 1,053 ms
    EXPECT_EQ(decide(600ms, 5s, 1100ms).action, Action::Send);
    EXPECT_EQ(decide(600ms, 5s, 1300ms).action, Action::Refuse);
    decide.prefillTokens = 9190;
    decide.input.urgentObjective = 200ms;
    EXPECT_EQ(decide(390ms, 5s, 380ms).action, Action::Send);
    EXPECT_EQ(decide(390ms, 5s, 400ms).action, Action::Refuse);
}
