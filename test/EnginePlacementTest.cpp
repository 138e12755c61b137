#include "Serving/Servers/ServerChooser.h"

#include <gtest/gtest.h>

#include <cmath>
#include <list>
#include <memory>
#include <queue>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

enum class Policy {
    Former, ///< Queued tokens divided by the prefill rate; knows no stated pace.
    LeastLoaded, ///< The fewest requests in flight of all gateways.
    Chooser,
};

// Tokens by prefix hash, least recently used last.
struct LruCache
{
    std::int64_t cachedTokens(const RequestMetadata &metadata,
                              const std::vector<std::uint64_t> &hashes) const
    {
        std::int64_t tokens = 0;
        for (std::size_t i = 0; i < hashes.size() && places.count(hashes[i]) > 0; ++i)
            tokens += metadata.promptParts[i].length.count();
        return tokens;
    }
    void store(const RequestMetadata &metadata, const std::vector<std::uint64_t> &hashes)
    {
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            if (const auto it = places.find(hashes[i]); it != places.end()) {
                entries.splice(entries.begin(), entries, it->second);
                continue;
            }
            entries.emplace_front(hashes[i], metadata.promptParts[i].length.count());
            places[hashes[i]] = entries.begin();
            total += entries.front().second;
        }
    }
    void shrink(std::int64_t capacity)
    {
        for (; total > capacity && !entries.empty(); entries.pop_back()) {
            total -= entries.back().second;
            places.erase(entries.back().first);
        }
    }
    std::list<std::pair<std::uint64_t, std::int64_t>> entries;
    std::map<std::uint64_t, decltype(entries)::iterator> places;
    std::int64_t total = 0;
};

// Simulates 25 gateways and 46 engines on a virtual clock, with the load of a preview hosting
// deployment: long prompts that share parts, short ones, demand in waves with a phase per zone, a
// quarter of the engines slow, all engines slowed 2.5 times for 600 ms of every 4 s, two engines
// that crash and return. Gateways report their work to each other every 400 ms.
class EngineFleet
{
public:
    struct Result
    {
        std::vector<double> longMs, shortMs; ///< Times to the first event.
        std::int64_t promptTokens = 0;
        std::int64_t readTokens = 0;
        std::int64_t sharedRead = 0; ///< Of parts that an engine had read before.
        int events = 0;
        int lateEvents = 0; ///< More than 400 ms after the one before.
        int maxSends = 0, medianSends = 0; ///< Per engine.
        double inTime(const std::vector<double> &times, double objective) const
        {
            return static_cast<double>(std::count_if(times.begin(), times.end(),
                                                     [&](double t) { return t <= objective; }))
                / static_cast<double>(times.size());
        }
        static double percentile(std::vector<double> times, double share)
        {
            std::sort(times.begin(), times.end());
            return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
        }
    };

    EngineFleet(Policy policy, std::uint64_t seed, double load)
        : m_policy(policy), m_load(load), m_random(seed)
    {
        m_service.name = ServiceName("llm");
        m_service.engine.emplace().kvCacheTokens = kvTokens;
        m_service.engine->slots = slots;
        std::vector<double> demand;
        for (int m = 0; m < models; ++m)
            demand.push_back(1 / std::pow(m + 1, 0.8));
        m_model = std::discrete_distribution<int>(demand.begin(), demand.end());
        m_engines.resize(engines);
        // The most loaded model per replica gets the next replica, on engines in turn.
        std::vector<int> replicas(models, 0);
        for (int i = 0; i < 3 * engines; ++i) {
            int best = i < models ? i : 0;
            for (int m = 0; i >= models && m < models; ++m) {
                if (demand[m] / replicas[m] > demand[best] / replicas[best])
                    best = m;
            }
            ++replicas[best];
            int k = i % engines;
            while (m_engines[k].listed.loadedModels.count(modelName(best)) > 0)
                k = (k + 1) % engines;
            m_engines[k].listed.loadedModels[modelName(best)];
        }
        for (int i = 0; i < gateways; ++i)
            m_gateways.push_back(std::make_unique<Gateway>(zone(i)));
        for (int k = 0; k < engines; ++k) {
            Engine &engine = m_engines[k];
            engine.listed.id = ServerName("engine-" + std::to_string(k));
            engine.listed.incarnation = Incarnation(1);
            engine.listed.service = m_service.name;
            engine.listed.zone = zone(k);
            engine.listed.address = engine.listed.id.text();
            engine.listed.slots = slots;
            engine.slowness = k % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
            engine.phase = std::chrono::milliseconds(m_random() % 4000);
            m_indexes[engine.listed.id] = k;
            for (const auto &it : m_gateways)
                it->directory.put(engine.listed, start);
        }
    }

    Result run(Duration length)
    {
        const Instant end = start + length;
        for (Instant now = start; now < end; now += 1ms) {
            while (!m_steps.empty() && m_steps.top().first <= now) {
                const auto [at, k] = m_steps.top();
                m_steps.pop();
                finishStep(k, at);
            }
            arrive(now);
            for (int i = 0; i < gateways; ++i) {
                if ((now - start) % 400ms == 16ms * i)
                    reportWork(i, now);
            }
            if (now == start + length / 3)
                crash({3, 8}, now);
            if (now == start + length / 2)
                restart({3, 8}, now);
        }
        std::vector<int> sends;
        for (const Engine &it : m_engines)
            sends.push_back(it.sends);
        std::sort(sends.begin(), sends.end());
        m_result.maxSends = sends.back();
        m_result.medianSends = sends[sends.size() / 2];
        return m_result;
    }

private:
    static constexpr int gateways = 25, engines = 46, models = 98, slots = 64;
    static constexpr std::int64_t kvTokens = 400'000;
    static constexpr int outputTokens = 60, tokensPerEvent = 5;

    struct Gateway
    {
        explicit Gateway(const ZoneName &zoneName)
            : zone(zoneName), chooser(ServerChooser::Settings(), zoneName)
        { }
        ZoneName zone;
        ServerDirectory directory{2s};
        ServerChooser chooser;
        std::map<ServerName, LruCache> formerCaches;
    };
    struct Request
    {
        int gateway = 0;
        RequestMetadata metadata;
        std::vector<std::uint64_t> hashes;
        Instant arrivedAt, sentAt, lastEventAt;
        bool isLong = false;
        std::set<ServerName> tried;
        Duration usual{0};
        double pace = 1;
        ServerWork work;
        std::int64_t remaining = 0;
        int tokens = 0;
    };
    using RequestPointer = std::shared_ptr<Request>;
    struct Engine
    {
        ListedServer listed;
        double slowness = 1;
        Duration phase{0};
        bool isUp = true;
        bool isStepping = false;
        int sends = 0;
        std::deque<RequestPointer> waiting;
        std::vector<RequestPointer> running;
        LruCache cache;
        std::set<std::uint64_t> everRead;
    };
    struct Choice
    {
        ServerName server;
        Duration usual{0};
        double pace = 1;
        std::int64_t prefill = 0;
    };

    static ZoneName zone(int i) { return ZoneName("zone-" + std::to_string(i % 3)); }
    static ModelName modelName(int m) { return ModelName("model-" + std::to_string(m)); }
    double stated(const Engine &engine, Instant now) const
    {
        return (now - start + engine.phase) % 4s < 600ms ? 2.5 : 1;
    }

    void arrive(Instant now)
    {
        for (int z = 0; z < 3; ++z) {
            const double wave
                = 1 + 0.55 * std::sin(2 * M_PI * (toSeconds(now - start) / 15 + z / 3.0));
            for (const bool isLong : {true, false}) {
                const double perSecond = (isLong ? 93.0 : 92.6) / 3 * m_load * wave;
                for (int n = std::poisson_distribution<int>(perSecond / 1000)(m_random); n > 0; --n)
                    send(makeRequest(isLong, z, now), now);
            }
        }
        std::vector<RequestPointer> delayed;
        delayed.swap(m_delayed);
        for (const RequestPointer &it : delayed)
            send(it, now);
    }

    RequestPointer makeRequest(bool isLong, int z, Instant now)
    {
        auto request = std::make_shared<Request>();
        request->gateway = static_cast<int>(m_random() % ((gateways + 2 - z) / 3)) * 3 + z;
        request->arrivedAt = now;
        request->isLong = isLong;
        RequestMetadata &metadata = request->metadata;
        metadata.id = RequestId(std::to_string(m_random()));
        metadata.model = modelName(m_model(m_random));
        if (isLong) {
            metadata.promptParts = {{1, Tokens(2520)}, {100 + m_random() % 45, Tokens(3780)}};
            metadata.promptParts.push_back({m_random(), Tokens(2890)});
        } else {
            metadata.promptParts = {{m_random(), Tokens(826)}};
        }
        for (const PromptPart &it : metadata.promptParts)
            metadata.promptTokens = Tokens(metadata.promptTokens.count() + it.length.count());
        metadata.maxOutputTokens = Tokens(outputTokens);
        request->hashes = computePrefixHashes(metadata);
        return request;
    }

    Choice choose(Gateway &gateway, const Request &request, Instant now)
    {
        if (m_policy == Policy::Chooser) {
            ServerChoiceInput input{&m_service, &request.metadata, &request.hashes, request.tried};
            input.eventGapObjective = 400ms;
            input.gateways = gateways;
            const ServerChoice choice = gateway.chooser.choose(input, gateway.directory, now);
            return {choice.server, choice.usualTimeToFirstByte, choice.pace, choice.prefillTokens};
        }
        Choice best;
        double bestCost = 0;
        std::size_t bestRank = 0;
        for (const ServerState *it : gateway.directory.serversWithModel(request.metadata.model)) {
            const ServerWork work = it->totalWork();
            if (request.tried.count(it->listed.id) > 0 || it->health.isAvoided(now)
                || work.requestsInFlight >= slots)
                continue;
            const std::int64_t prefill = request.metadata.promptTokens.count()
                - gateway.formerCaches[it->listed.id].cachedTokens(request.metadata,
                                                                   request.hashes);
            const double usual = static_cast<double>(work.prefillTokens + prefill) / 38;
            const double zoneMs = it->listed.zone == gateway.zone ? 0 : 20;
            const double cost = m_policy == Policy::LeastLoaded
                ? work.requestsInFlight
                : usual * it->health.latencyRatio() + zoneMs;
            const double window = m_policy == Policy::LeastLoaded ? 0.5 : 8;
            const std::size_t rank = std::hash<std::string>()(
                it->listed.id.text()
                + (m_policy == Policy::LeastLoaded ? request.metadata.id.text()
                                                   : std::to_string(request.hashes[0])));
            const bool isTie = std::abs(cost - bestCost) < window;
            if (!best.server.isEmpty() && (isTie ? rank <= bestRank : cost >= bestCost))
                continue;
            best = {it->listed.id, scaled(1ms, usual), 1, prefill};
            bestCost = cost;
            bestRank = rank;
        }
        return best;
    }

    void send(const RequestPointer &request, Instant now)
    {
        Gateway &gateway = *m_gateways[request->gateway];
        const Choice choice = choose(gateway, *request, now);
        if (choice.server.isEmpty()) {
            request->tried.clear();
            m_delayed.push_back(request);
            return;
        }
        ServerState &state = *gateway.directory.find(choice.server);
        Engine &engine = m_engines[m_indexes[choice.server]];
        request->tried.insert(choice.server);
        if (!engine.isUp) {
            state.health.recordFailure(ServerHealth::Failure::Unreachable, now);
            m_delayed.push_back(request);
            return;
        }
        request->sentAt = now;
        request->usual = choice.usual;
        request->pace = choice.pace;
        request->work = {1, choice.prefill, choice.prefill + outputTokens};
        addWork(*request, state, 1);
        if (m_policy == Policy::Chooser) {
            ServerChoiceInput input{&m_service, &request->metadata, &request->hashes, {}};
            gateway.chooser.recordRequestSent(choice.server, input);
        } else {
            LruCache &cache = gateway.formerCaches[choice.server];
            cache.store(request->metadata, request->hashes);
            cache.shrink(kvTokens / 2);
        }
        ++engine.sends;
        engine.waiting.push_back(request);
        if (!engine.isStepping)
            beginStep(m_indexes[choice.server], now);
    }

    static void addWork(const Request &request, ServerState &state, int sign)
    {
        state.ownWork.requestsInFlight += sign * request.work.requestsInFlight;
        state.ownWork.prefillTokens += sign * request.work.prefillTokens;
        state.ownWork.kvCacheTokens += sign * request.work.kvCacheTokens;
    }

    void beginStep(int k, Instant now)
    {
        Engine &engine = m_engines[k];
        while (!engine.waiting.empty() && engine.running.size() < slots) {
            admit(engine, engine.waiting.front());
            engine.waiting.pop_front();
        }
        engine.isStepping = !engine.running.empty();
        if (!engine.isStepping)
            return;
        std::int64_t budget = 2048;
        for (const RequestPointer &it : engine.running) {
            const std::int64_t n = std::min(budget, it->remaining);
            it->remaining -= n;
            budget -= n;
        }
        const double ms = 5.05 + 0.0164 * static_cast<double>(engine.running.size())
            + static_cast<double>(2048 - budget) / 40.8;
        m_steps.emplace(now + scaled(1ms, ms * engine.slowness * stated(engine, now)), k);
    }

    void admit(Engine &engine, const RequestPointer &request)
    {
        const std::int64_t cached = engine.cache.cachedTokens(request->metadata, request->hashes);
        request->remaining = request->metadata.promptTokens.count() - cached;
        m_result.promptTokens += request->metadata.promptTokens.count();
        m_result.readTokens += request->remaining;
        std::int64_t end = 0;
        for (std::size_t i = 0; i + 1 < request->hashes.size(); ++i) {
            const std::int64_t length = request->metadata.promptParts[i].length.count();
            end += length;
            if (!m_everRead.insert(request->hashes[i]).second && end > cached)
                m_result.sharedRead += length;
        }
        engine.cache.store(request->metadata, request->hashes);
        engine.running.push_back(request);
        engine.cache.shrink(kvTokens
                            - static_cast<std::int64_t>(engine.running.size()) * outputTokens);
    }

    void finishStep(int k, Instant now)
    {
        Engine &engine = m_engines[k];
        if (!engine.isUp)
            return;
        for (const RequestPointer &it : engine.running) {
            if (it->remaining > 0 || ++it->tokens % tokensPerEvent != 0)
                continue;
            ServerState &state = *m_gateways[it->gateway]->directory.find(engine.listed.id);
            if (it->tokens == tokensPerEvent)
                onFirstEvent(engine, *it, state, now);
            else if (++m_result.events; now - it->lastEventAt > 400ms)
                ++m_result.lateEvents;
            it->lastEventAt = now;
            if (it->tokens == outputTokens)
                addWork(*it, state, -1);
        }
        std::erase_if(engine.running, [](const auto &it) { return it->tokens == outputTokens; });
        beginStep(k, now);
    }

    void onFirstEvent(const Engine &engine, Request &request, ServerState &state, Instant now)
    {
        const double ms = toSeconds(now - request.arrivedAt) * 1000;
        (request.isLong ? m_result.longMs : m_result.shortMs).push_back(ms);
        state.ownWork.prefillTokens -= request.work.prefillTokens;
        request.work.prefillTokens = 0;
        if (m_policy == Policy::Chooser) {
            state.loadEstimator.record(static_cast<int>(engine.running.size()),
                                       static_cast<int>(engine.waiting.size()), now);
            state.pace.record(100 * stated(engine, now), now);
        }
        state.health.recordSuccess(now);
        state.health.recordLatency(now - request.sentAt, request.usual,
                                   (request.pace + state.pace.factor(now)) / 2);
    }

    void reportWork(int i, Instant now)
    {
        ServerDirectory::WorkByServerHash work;
        for (const auto &[id, state] : m_gateways[i]->directory.servers()) {
            if (state.ownWork.requestsInFlight > 0)
                work[state.idHash] = state.ownWork;
        }
        for (int k = 0; k < gateways; ++k) {
            if (k != i)
                m_gateways[k]->directory.setPeerWork(InstanceId("gateway-" + std::to_string(i)),
                                                     work, now);
        }
    }

    void crash(std::initializer_list<int> indexes, Instant now)
    {
        for (const int k : indexes) {
            Engine &engine = m_engines[k];
            engine.isUp = false;
            engine.isStepping = false;
            std::vector<RequestPointer> lost(engine.waiting.begin(), engine.waiting.end());
            lost.insert(lost.end(), engine.running.begin(), engine.running.end());
            engine.waiting.clear();
            engine.running.clear();
            engine.cache = LruCache();
            for (const RequestPointer &it : lost) {
                ServerState &state = *m_gateways[it->gateway]->directory.find(engine.listed.id);
                addWork(*it, state, -1);
                state.health.recordFailure(ServerHealth::Failure::ConnectionLost, now);
                if (it->tokens >= tokensPerEvent)
                    continue;
                it->tokens = 0;
                m_delayed.push_back(it);
            }
        }
    }

    void restart(std::initializer_list<int> indexes, Instant now)
    {
        for (const int k : indexes) {
            Engine &engine = m_engines[k];
            engine.isUp = true;
            engine.listed.incarnation = Incarnation(2);
            for (const auto &it : m_gateways) {
                it->directory.put(engine.listed, now);
                it->chooser.clearPrefixCache(engine.listed.id);
                it->formerCaches.erase(engine.listed.id);
            }
        }
    }

    const Policy m_policy;
    const double m_load;
    std::mt19937_64 m_random;
    ServiceSpec m_service;
    std::discrete_distribution<int> m_model;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<Engine> m_engines;
    std::map<ServerName, int> m_indexes;
    using Step = std::pair<Instant, int>;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> m_steps;
    std::vector<RequestPointer> m_delayed;
    std::set<std::uint64_t> m_everRead;
    Result m_result;
};

void print(Policy policy, const EngineFleet::Result &it)
{
    const char *name = policy == Policy::Former ? "  former"
        : policy == Policy::LeastLoaded         ? "  least loaded"
                                                : "  chooser";
    const auto p = EngineFleet::Result::percentile;
    std::cout << name << ": long p50 " << p(it.longMs, 0.5) << " p95 " << p(it.longMs, 0.95)
              << " in time " << it.inTime(it.longMs, 600) << ", short p50 " << p(it.shortMs, 0.5)
              << " p95 " << p(it.shortMs, 0.95) << " in time " << it.inTime(it.shortMs, 500)
              << ", tokens read " << static_cast<double>(it.readTokens) * 1e-6 << "M of "
              << static_cast<double>(it.promptTokens) * 1e-6 << "M, shared again "
              << static_cast<double>(it.sharedRead) * 1e-6 << "M, events late "
              << static_cast<double>(it.lateEvents) / it.events << ", sends median "
              << it.medianSends << " max " << it.maxSends << '\n';
}

} // namespace

// Load pattern: see EngineFleet, at the usual load and in a burst. The choice must bring the first
// event earlier and read fewer shared parts again than the former policy and than the least load,
// and stall fewer streams than the former policy. Sums over all seeds are compared, since the
// shares of one seed vary by 0.01.
TEST(EnginePlacementTest, bringsTheFirstEventEarlierAndReadsLessAgain)
{
    for (const double load : {1.0, 1.5}) {
        std::map<Policy, double> inTime;
        std::map<Policy, double> lateEvents;
        std::map<Policy, double> sharedRead;
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            std::cout << "load " << load << " seed " << seed << '\n';
            for (const Policy policy : {Policy::Former, Policy::LeastLoaded, Policy::Chooser}) {
                const auto result = EngineFleet(policy, seed, load).run(30s);
                print(policy, result);
                inTime[policy]
                    += result.inTime(result.longMs, 600) + result.inTime(result.shortMs, 500);
                lateEvents[policy] += static_cast<double>(result.lateEvents) / result.events;
                sharedRead[policy] += static_cast<double>(result.sharedRead);
            }
        }
        for (const auto &[policy, sum] : inTime)
            std::cout << "sums of policy " << static_cast<int>(policy) << ": in time " << sum
                      << ", late events " << lateEvents[policy] << ", shared again "
                      << sharedRead[policy] * 1e-6 << "M\n";
        EXPECT_GT(inTime[Policy::Chooser], inTime[Policy::Former]);
        EXPECT_GT(inTime[Policy::Chooser], inTime[Policy::LeastLoaded]);
        EXPECT_LT(lateEvents[Policy::Chooser], lateEvents[Policy::Former]);
        EXPECT_LT(sharedRead[Policy::Chooser], 0.97 * sharedRead[Policy::Former]);
        EXPECT_LT(sharedRead[Policy::Chooser], 0.97 * sharedRead[Policy::LeastLoaded]);
    }
}

// Gateways with the same news, none of which knows what the others send, must not all choose the
// same engine, and must choose a loaded one less often.
TEST(EnginePlacementTest, gatewaysWithTheSameNewsShareEquallyGoodEngines)
{
    ServiceSpec service;
    service.name = ServiceName("llm");
    service.engine.emplace().kvCacheTokens = 400'000;
    const ModelName model("model");
    ServerDirectory directory(2s);
    for (int k = 0; k < 8; ++k) {
        ListedServer engine;
        engine.id = ServerName("engine-" + std::to_string(k));
        engine.incarnation = Incarnation(1);
        engine.service = service.name;
        engine.slots = 64;
        engine.loadedModels[model];
        directory.put(engine, start);
        const int running = k < 4 ? 30 : 4;
        directory.setPeerWork(InstanceId("gateway-" + std::to_string(k)),
                              {{serverHash(engine.id), {running, 0, 0}}}, start);
    }
    std::map<ServerName, int> sends;
    for (int round = 0; round < 10; ++round) {
        for (int i = 0; i < 25; ++i) {
            RequestMetadata metadata;
            metadata.id = RequestId(std::to_string(i) + "/" + std::to_string(round));
            metadata.model = model;
            metadata.promptParts = {{1, Tokens(6300)}, {2, Tokens(2890)}};
            metadata.promptTokens = Tokens(9190);
            const auto hashes = computePrefixHashes(metadata);
            ServerChooser chooser{ServerChooser::Settings(), ZoneName()};
            const ServerChoice choice
                = chooser.choose({&service, &metadata, &hashes, {}}, directory, start);
            ASSERT_EQ(choice.outcome, ServerChoice::Outcome::Chosen);
            ++sends[choice.server];
        }
    }
    int toLoaded = 0;
    for (const auto &[server, count] : sends) {
        EXPECT_LE(count, 250 / 3) << server.text();
        toLoaded += server < ServerName("engine-4") ? count : 0;
    }
    EXPECT_LT(toLoaded, 250 / 4);
}

// A restarted engine has cached nothing, whatever was sent to it before.
TEST(EnginePlacementTest, forgetsThePrefixesOfAnEarlierIncarnation)
{
    ServiceSpec service;
    service.name = ServiceName("llm");
    service.engine.emplace().kvCacheTokens = 400'000;
    RequestMetadata metadata;
    metadata.model = ModelName("model");
    metadata.promptParts = {{1, Tokens(2000)}};
    metadata.promptTokens = Tokens(2000);
    const auto hashes = computePrefixHashes(metadata);
    ListedServer engine;
    engine.id = ServerName("engine");
    engine.incarnation = Incarnation(1);
    engine.service = service.name;
    engine.loadedModels[metadata.model];
    ServerDirectory directory(2s);
    directory.put(engine, start);
    ServerChooser chooser{ServerChooser::Settings(), ZoneName()};
    const ServerChoiceInput input{&service, &metadata, &hashes, {}};
    const auto cachedTokens = [&] { return chooser.choose(input, directory, start).cachedTokens; };
    EXPECT_EQ(cachedTokens(), 0);
    chooser.recordRequestSent(engine.id, input);
    EXPECT_EQ(cachedTokens(), 2000);
    engine.incarnation = Incarnation(2);
    directory.put(engine, start);
    EXPECT_EQ(cachedTokens(), 0);
}
