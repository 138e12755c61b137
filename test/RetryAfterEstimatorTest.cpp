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
        estimator.recordChoice(request, choice, waited, now);
        return estimator.timeUntilRoom(request, choice, directory, ahead, 4, now);
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
