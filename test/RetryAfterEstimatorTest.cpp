#include "Serving/Requests/RetryAfterEstimator.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ModelName model("large");
const ModelName otherModel("other");

// A service of engines whose missing models take 8.6 s from the weight store, at half a load per
// second.
struct Site
{
    Site()
    {
        service.name = ServiceName("llm");
        service.engine.emplace();
        service.engine->slots = 64;
        service.engine->kvCacheTokens = 234'000;
        service.engine->loadsPerSecond = 0.5;
        for (const ModelName &name : {model, otherModel})
            service.engine->models[name]
                = {name, 70'000, 66, 4, Milliseconds(8600), Milliseconds(1200)};
    }

    void addServer(int requestsInFlight, int ownRequests)
    {
        ListedServer server;
        server.id = ServerName("engine-" + std::to_string(directory.servers().size()));
        server.service = service.name;
        server.address = "10.0.0.1:80";
        server.slots = requestsInFlight;
        server.loadedModels[model];
        directory.put(server, start);
        ServerState &state = *directory.find(server.id);
        state.ownWork.requestsInFlight = ownRequests;
        state.peerWork.requestsInFlight = requestsInFlight - ownRequests;
    }

    // Records what a request finds and returns the time until there is room for it.
    std::optional<Duration> find(const ModelName &name, ServerChoice::Outcome outcome, Instant now,
                                 Duration waited = Duration(0), std::size_t ahead = 0,
                                 const std::string &adapter = "", bool isStoredLocally = false)
    {
        RequestMetadata metadata;
        metadata.model = name;
        metadata.adapter = AdapterName(adapter);
        ServerChoice choice;
        choice.outcome = outcome;
        choice.isModelStoredLocally = isStoredLocally;
        const ServerChoiceInput request{&service, &metadata, &prefixHashes, {}};
        estimator.recordChoice(request, choice, waited, directory, 4, now);
        return estimator.timeUntilRoom(request, choice, ahead, now);
    }

    ServiceSpec service;
    std::vector<std::uint64_t> prefixHashes;
    ServerDirectory directory{2s};
    RetryAfterEstimator estimator{RetryAfterEstimator::Settings()};
};

using Outcome = ServerChoice::Outcome;

} // namespace

// Load pattern: requests keep arriving for a model while it is loaded. A constant estimate would
// have later callers return long after the model is there.
TEST(RetryAfterEstimatorTest, countsDownToTheEndOfALoad)
{
    Site site;
    EXPECT_EQ(site.find(model, Outcome::NoModel, start), 8600ms);
    EXPECT_EQ(site.find(model, Outcome::NoModel, start + 1s), 7600ms);
    EXPECT_EQ(site.find(model, Outcome::NoModel, start + 2s), 6600ms);
}

// Load pattern: two models are missing at once, and the weight store delivers one every two
// seconds.
TEST(RetryAfterEstimatorTest, addsTheLoadsBeforeAMissingModel)
{
    Site site;
    EXPECT_EQ(site.find(model, Outcome::NoModel, start), 8600ms);
    EXPECT_EQ(site.find(otherModel, Outcome::NoModel, start), 10'600ms);
    // One that an engine stores itself doesn't wait for the weight store.
    Site localSite;
    localSite.find(model, Outcome::NoModel, start);
    EXPECT_EQ(localSite.find(otherModel, Outcome::NoModel, start, 0ms, 0, "", true), 1600ms);
}

// A load that has failed must not keep callers waiting for a time that has passed.
TEST(RetryAfterEstimatorTest, startsAnewIfALoadIsOverdue)
{
    Site site;
    for (Duration t{0}; t <= Duration(10s); t += 500ms)
        site.find(model, Outcome::NoModel, start + t);
    EXPECT_EQ(site.find(model, Outcome::NoModel, start + 10'500ms), Duration(0));
    EXPECT_EQ(site.find(model, Outcome::NoModel, start + 11s), 8600ms);
}

TEST(RetryAfterEstimatorTest, forgetsAModelThatIsLoaded)
{
    Site site;
    site.find(model, Outcome::NoModel, start);
    site.find(model, Outcome::Chosen, start + 5s);
    EXPECT_EQ(site.find(model, Outcome::NoModel, start + 6s), 8600ms);
}

// A request that was turned down by the only server of its model excludes that server for some
// milliseconds. No load is to be expected, and it must not be refused for the time of one.
TEST(RetryAfterEstimatorTest, expectsNoLoadOfAModelThatIsLoadedAtAnExcludedServer)
{
    Site site;
    site.addServer(8, 4);
    EXPECT_FALSE(site.find(model, Outcome::NoModel, start));
    ListedServer leaving = site.directory.find(ServerName("engine-0"))->listed;
    leaving.isLeaving = true;
    site.directory.put(leaving, start);
    EXPECT_EQ(site.find(model, Outcome::NoModel, start), 8600ms);
}

// Load pattern: all slots of a model's replicas are taken by requests that take 500 ms on average.
TEST(RetryAfterEstimatorTest, derivesTheTimeUntilASlotFromThePaceAtWhichRequestsEnd)
{
    Site site;
    site.addServer(8, 4);
    EXPECT_FALSE(site.find(model, Outcome::AllFull, start));
    site.estimator.recordEnd(site.service.name, 500ms);
    // Eight slots become free every 500 ms, half of them for this gateway.
    EXPECT_EQ(site.find(model, Outcome::AllFull, start), 125ms);
    EXPECT_EQ(site.find(model, Outcome::AllFull, start, 0ms, 7), 1s);
}

TEST(RetryAfterEstimatorTest, countsAtLeastTheEqualShareOfTheSlots)
{
    Site site;
    site.addServer(8, 0);
    site.estimator.recordEnd(site.service.name, 500ms);
    EXPECT_EQ(site.find(model, Outcome::AllFull, start), 250ms);
}

// Load pattern: adapters are loaded within milliseconds, except at engines that are busy with the
// load of a model. Requests that wait for those are refused after a wait that can't help.
TEST(RetryAfterEstimatorTest, learnsHowLongAdaptersTake)
{
    Site site;
    site.addServer(8, 4);
    EXPECT_FALSE(site.find(model, Outcome::NoAdapter, start, 0ms, 0, "a1"));
    site.find(model, Outcome::Chosen, start + 40ms, 40ms, 0, "a1");
    EXPECT_EQ(site.find(model, Outcome::NoAdapter, start, 0ms, 0, "a2"), 40ms);
    RequestMetadata metadata;
    metadata.model = model;
    metadata.adapter = AdapterName("a2");
    site.estimator.recordAdapterRefusal(metadata, start + 200ms);
    EXPECT_GE(site.find(model, Outcome::NoAdapter, start + 250ms, 0ms, 0, "a2"), 2s);
    EXPECT_EQ(site.find(model, Outcome::NoAdapter, start + 3s, 0ms, 0, "a2"), 40ms);
}

// Load pattern: many callers are refused at the same moment because all slots are taken. Told the
// same delay, they would return together, and all but one would be refused again.
TEST(RetryAfterEstimatorTest, letsCallersRefusedTogetherReturnAtThePaceOfFreeSlots)
{
    Site site;
    site.addServer(8, 4);
    site.estimator.recordEnd(site.service.name, 500ms);
    site.find(model, Outcome::AllFull, start);
    RequestMetadata metadata;
    metadata.model = model;
    const ServerChoiceInput request{&site.service, &metadata, &site.prefixHashes, {}};
    ServerChoice choice;
    choice.outcome = Outcome::AllFull;
    Duration last{0};
    for (int i = 0; i < 11; ++i) {
        const Duration delay = site.estimator.planReturn(request, choice, 125ms, 5s, 0.5, start);
        EXPECT_EQ(delay, 125ms * (i + 1));
        last = delay;
    }
    EXPECT_LE(last, 1500ms);
    // There is no room for more within the time that callers honour; they come at differing times.
    for (int i = 0; i < 5; ++i)
        site.estimator.planReturn(request, choice, 125ms, 5s, 0.5, start);
    const Duration early = site.estimator.planReturn(request, choice, 125ms, 5s, 0.1, start);
    const Duration late = site.estimator.planReturn(request, choice, 125ms, 5s, 0.9, start);
    EXPECT_LT(early + 500ms, late);
    EXPECT_LE(late, 1500ms);
}

// Load pattern: an account sends several times its rate. Refused callers that all return when there
// is credit for one of them are refused again, which costs them most.
TEST(RetryAfterEstimatorTest, spacesTheReturnsOfAnAccountByTheCostOfItsRequests)
{
    RetryAfterEstimator estimator{RetryAfterEstimator::Settings()};
    const AccountId account("shop");
    const auto plan = [&](Duration untilCredit, Instant now) {
        return estimator.planQuotaReturn(account, untilCredit, 10'000, 50'000, 5s, 0, now);
    };
    EXPECT_EQ(plan(150ms, start), 150ms);
    EXPECT_EQ(plan(150ms, start), 350ms);
    EXPECT_EQ(plan(100ms, start + 50ms), 500ms);
    EXPECT_EQ(plan(100ms, start + 2s), 100ms);
    // Credit that comes too late for this caller is stated as it is, and others' places remain.
    EXPECT_EQ(plan(4s, start + 2s), 4s);
    EXPECT_EQ(plan(100ms, start + 2s), 300ms);
    // Less than a millisecond is never stated.
    EXPECT_EQ(plan(1us, start + 5s), 100ms);
    EXPECT_GT(estimator.planQuotaReturn(AccountId("none"), 1us, 1e300, 0, 5s, 0.5, start), 0ms);
}

// Load pattern: callers whose delay exceeds what they honour are refused together.
TEST(RetryAfterEstimatorTest, spreadsDelaysAtTheirBound)
{
    EXPECT_NE(boundedRetryAfter(9s, 5s, 0.1), boundedRetryAfter(9s, 5s, 0.8));
    EXPECT_LE(boundedRetryAfter(9s, 5s, 0), Duration(5s) / 3);
    EXPECT_LE(boundedRetryAfter(1400ms, 5s, 0.9), 1500ms);
    EXPECT_GE(boundedRetryAfter(0ms, 5s, 0), 100ms);
    EXPECT_NE(boundedRetryAfter(0ms, 5s, 0), boundedRetryAfter(0ms, 5s, 0.9));
}
