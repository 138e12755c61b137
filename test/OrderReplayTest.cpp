#include "Serving/Requests/AdmissionPolicy.h"
#include "Serving/Requests/RequestUrgency.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <memory>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
constexpr Duration length = 60s;
constexpr Duration step = 10ms;
constexpr Duration waveLength = 15s;
constexpr double waveAmplitude = 0.55;
constexpr double tokensPerMs = 40.8;
constexpr Duration responseTime = 400ms; // from the first event to the last
constexpr Duration loadTime = 8600ms;
constexpr int slots = 64;
constexpr double demandWindow = 2; // seconds
constexpr Duration messageInterval = 200ms;
constexpr double slowShare = 0.15; // of the time
constexpr double slowFactor = 2.5;
constexpr Duration slowTime = 600ms; // at a time

const ModelName model("large");
const ModelName missingModel("missing");

struct Kind
{
    const char *name;
    std::int64_t tokens;
    int priority;
    Milliseconds objective;
    Milliseconds limit;
    double perSecond;
    double value;
    double lateValue;
};

// The kinds of the first deployment in docs/design/overview.md that run on engines.
const std::vector<Kind> kinds{
    {"description", 9190, 1, 600ms, 5s, 8.17, 2.2, 0.66},
    {"bulk", 9190, 1, 6s, 20s, 1.13, 2.2, 0.66},
    {"suggestion", 826, 0, 500ms, 15s, 9.26, 0.92, 0.27},
};

// The first account sends four times its usual, which is that of the others.
const std::vector<int> accountShares{4, 1, 1, 1, 1, 1};

struct Outcome
{
    int count = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0; // at last
    int abandoned = 0;
    double value = 0;
    double possible = 0;

    double share() const { return value / possible; }
    void add(const Outcome &other)
    {
        count += other.count;
        inTime += other.inTime;
        late += other.late;
        refused += other.refused;
        abandoned += other.abandoned;
        value += other.value;
        possible += other.possible;
    }
};

struct Result
{
    std::vector<Outcome> byKind = std::vector<Outcome>(kinds.size());
    std::vector<Outcome> byAccount = std::vector<Outcome>(accountShares.size());
    Outcome missing; // requests for the model that is loaded during the run
    Outcome all;
    int uselessWaits = 0; // of more than an eighth of the objective, before a refusal

    void add(const Result &other)
    {
        for (std::size_t i = 0; i < byKind.size(); ++i)
            byKind[i].add(other.byKind[i]);
        for (std::size_t i = 0; i < byAccount.size(); ++i)
            byAccount[i].add(other.byAccount[i]);
        missing.add(other.missing);
        all.add(other.all);
        uselessWaits += other.uselessWaits;
    }

    void print(const char *name) const
    {
        std::cout << name << ": value " << std::fixed << std::setprecision(3) << all.share()
                  << ", refused after a wait " << uselessWaits << "\n";
        const auto line = [](const std::string &label, const Outcome &it) {
            std::cout << "  " << std::setw(12) << label << ": " << it.count << ", in time "
                      << it.inTime << ", late " << it.late << ", refused " << it.refused
                      << ", abandoned " << it.abandoned << ", value " << it.share() << "\n";
        };
        for (std::size_t i = 0; i < kinds.size(); ++i)
            line(kinds[i].name, byKind[i]);
        for (std::size_t i = 0; i < accountShares.size(); ++i)
            line("account " + std::to_string(i), byAccount[i]);
        line("missing", missing);
    }
};

// Gateways that tell each other their work, and engines that process prompts in the order of
// arrival. Of these, a quarter run at 0.55 of the usual pace and the others at 1.2, which the
// gateway learns from their responses.
class Replay
{
public:
    Replay(bool isFormer, double load, std::uint64_t seed, int gateways = 1)
        : m_isFormer(isFormer), m_arrivalRandom(seed), m_random(seed)
    {
        m_service.name = ServiceName("llm");
        m_service.engine.emplace();
        m_service.engine->slots = slots;
        m_service.engine->kvCacheTokens = 1'000'000;
        m_service.engine->loadsPerSecond = 1;
        for (const ModelName &name : {model, missingModel})
            m_service.engine->models[name]
                = {name, 70'000, 66, 4, std::chrono::duration_cast<Milliseconds>(loadTime), {}};
        for (const Kind &kind : kinds) {
            Route route;
            route.kind = RouteKind::Stream;
            route.timeout = kind.limit;
            route.latencyObjective = kind.objective;
            route.eventGapObjective = 400ms;
            route.priority = kind.priority;
            m_routes.push_back(route);
        }
        for (int i = 0; i < gateways; ++i)
            m_gateways.push_back(std::make_unique<Gateway>());
        for (int i = 0; i < 4; ++i) {
            const double pace = i == 0 ? 0.55 : 1.2;
            m_engines[addServer(i)] = {pace, start, start};
            m_capacity += pace * tokensPerMs * 1000;
        }
        double demand = 0;
        for (const Kind &kind : kinds)
            demand += kind.perSecond * static_cast<double>(kind.tokens);
        m_rateFactor = load * m_capacity / demand;
    }

    Result run()
    {
        for (Instant now = start; now < start + length + 25s; now += step) {
            endRuns(now);
            slowEngines(now);
            if (now < start + length)
                addArrivals(now);
            while (!m_arrivals.empty() && m_arrivals.begin()->first <= now) {
                const Caller caller = m_arrivals.begin()->second;
                m_arrivals.erase(m_arrivals.begin());
                m_gateway = m_gateways[m_random() % m_gateways.size()].get();
                arrive(caller, now);
            }
            if ((now - start) % messageInterval == Duration(0))
                exchangeWork();
            if ((now - start) % 50ms != Duration(0))
                continue;
            for (const auto &gateway : m_gateways) {
                m_gateway = gateway.get();
                retryWaiting(now);
            }
        }
        return m_result;
    }

private:
    struct Engine
    {
        double pace = 1;
        Instant slowUntil;
        Instant promptsUntil; // end of the last queued prompt
    };
    struct Caller
    {
        std::size_t kind = 0;
        std::size_t account = 0;
        ModelName model;
        Instant first;
        Instant arrivedAt;
        bool isRetry = false;
    };
    struct Gateway
    {
        ServerDirectory directory{2s};
        ServerChooser chooser{ServerChooser::Settings(), ZoneName("east")};
        RetryAfterEstimator estimator{RetryAfterEstimator::Settings()};
        RecentUrgencies recent;
        AccountWork work;
        std::vector<Caller> waiting;
    };
    struct Run
    {
        Gateway *gateway = nullptr;
        ServerName server;
        Instant sentAt;
        Instant firstByteAt;
        Duration expected; ///< Time to the first byte at a server of usual speed.
        double pace = 1;
        ServerWork work;
        AccountId account;
        bool hasFirstByte = false;
    };

    ServerName addServer(int i)
    {
        ListedServer server;
        server.id = ServerName("engine-" + std::to_string(i));
        server.service = m_service.name;
        server.zone = ZoneName("east");
        server.address = "10.0.0.1:80";
        server.slots = slots;
        server.loadedModels[model];
        for (const auto &gateway : m_gateways)
            gateway->directory.put(server, start);
        return server.id;
    }

    void addArrivals(Instant now)
    {
        const double phase = 2 * M_PI * toSeconds(now - start) / toSeconds(waveLength);
        const double factor = m_rateFactor * (1 + waveAmplitude * std::sin(phase));
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            std::poisson_distribution<int> count(kinds[i].perSecond * factor * toSeconds(step));
            for (int n = count(m_arrivalRandom); n > 0; --n) {
                Caller caller;
                caller.kind = i;
                std::discrete_distribution<std::size_t> account(accountShares.begin(),
                                                                accountShares.end());
                caller.account = account(m_arrivalRandom);
                // One in twenty requests is for a model that no engine has until its load ends.
                caller.model = m_arrivalRandom() % 20 == 0 ? missingModel : model;
                caller.first = now;
                caller.arrivedAt = now;
                m_arrivals.emplace(now, caller);
            }
        }
    }

    AccountId accountOf(const Caller &caller) const
    {
        return AccountId("account-" + std::to_string(caller.account));
    }

    RequestUrgency urgencyOf(const Caller &caller) const
    {
        const Kind &kind = kinds[caller.kind];
        return {m_service.name, caller.model,     accountOf(caller),
                kind.priority,  caller.arrivedAt, kind.objective};
    }

    void arrive(const Caller &caller, Instant now)
    {
        m_gateway->work.add(accountOf(caller));
        m_gateway->recent.record(urgencyOf(caller), now);
        const double tokens = static_cast<double>(kinds[caller.kind].tokens);
        m_demand[caller.model]
            = {promptTokensPerSecond(caller.model, now) + tokens / demandWindow, now};
        if (!decide(caller, false, now))
            m_gateway->waiting.push_back(caller);
    }

    // All gateways know the demand.
    double promptTokensPerSecond(const ModelName &name, Instant now) const
    {
        const auto it = m_demand.find(name);
        if (it == m_demand.end())
            return 0;
        const auto &[rate, at] = it->second;
        return rate * std::exp(-toSeconds(now - at) / demandWindow);
    }

    void retryWaiting(Instant now)
    {
        std::stable_sort(m_gateway->waiting.begin(), m_gateway->waiting.end(),
                         [&](const auto &a, const auto &b) {
                             if (m_isFormer)
                                 return std::pair(kinds[a.kind].priority, a.arrivedAt)
                                     < std::pair(kinds[b.kind].priority, b.arrivedAt);
                             return urgencyRank(urgencyOf(a), m_gateway->work, now)
                                 < urgencyRank(urgencyOf(b), m_gateway->work, now);
                         });
        std::vector<Caller> waiting;
        waiting.swap(m_gateway->waiting);
        for (const Caller &caller : waiting) {
            if (!decide(caller, true, now))
                m_gateway->waiting.push_back(caller);
        }
    }

    // Returns whether the caller has stopped waiting.
    bool decide(const Caller &caller, bool isWaiting, Instant now)
    {
        const Kind &kind = kinds[caller.kind];
        const Duration waited = now - caller.arrivedAt;
        const Duration left = caller.first + kind.limit - now;
        const Duration patience = std::max<Duration>({2s, kind.objective * 4, 3200ms});
        if (left <= Duration(0) || waited >= patience) {
            finish(caller, &Outcome::abandoned, 0);
            return true;
        }
        RequestMetadata metadata;
        metadata.model = caller.model;
        metadata.promptTokens = Tokens(kind.tokens);
        metadata.maxOutputTokens = Tokens(50);
        metadata.promptParts = {{++m_parts, Tokens(kind.tokens)}};
        const std::vector<std::uint64_t> hashes = computePrefixHashes(metadata);
        const ServerChoiceInput request{&m_service, &metadata, &hashes, {}};
        AdmissionInput input{&m_routes[caller.kind],
                             &m_service,
                             &metadata,
                             m_gateway->chooser.choose(request, m_gateway->directory, now),
                             waited,
                             left};
        if (input.serverChoice.outcome == ServerChoice::Outcome::NoModel)
            beginLoad(now);
        const AdmissionDecision decision = m_isFormer
            ? decideAsFormerly(input)
            : decideNow(request, input, urgencyOf(caller), isWaiting, now);
        if (decision.action == AdmissionDecision::Action::Wait)
            return false;
        if (decision.action == AdmissionDecision::Action::Send) {
            send(caller, request, input.serverChoice, now);
            return true;
        }
        m_result.uselessWaits += waited > kind.objective / 8 ? 1 : 0;
        if (caller.isRetry) {
            finish(caller, &Outcome::refused, 0);
            return true;
        }
        m_gateway->work.remove(accountOf(caller));
        Caller retry = caller;
        retry.isRetry = true;
        retry.arrivedAt = now + std::min(decision.retryAfter, left / 3);
        m_arrivals.emplace(retry.arrivedAt, retry);
        return true;
    }

    AdmissionDecision decideNow(const ServerChoiceInput &request, AdmissionInput &input,
                                const RequestUrgency &urgency, bool isWaiting, Instant now)
    {
        const UrgencyRank rank = urgencyRank(urgency, m_gateway->work, now);
        const auto ahead = static_cast<std::size_t>(std::count_if(
            m_gateway->waiting.begin(), m_gateway->waiting.end(), [&](const Caller &it) {
                return it.model == urgency.model
                    && urgencyRank(urgencyOf(it), m_gateway->work, now) < rank;
            }));
        m_gateway->estimator.recordChoice(request, input.serverChoice,
                                          isWaiting ? input.waited : 0ms, m_gateway->directory,
                                          m_gateways.size(), now);
        input.timeUntilRoom
            = m_gateway->estimator.timeUntilRoom(request, input.serverChoice, ahead, now);
        input.urgentObjective = m_gateway->recent.moreUrgentObjective(urgency, now);
        input.accountExcess = m_gateway->recent.excessInShortage(urgency, m_gateway->work, now);
        input.areMoreUrgentRefused = m_gateway->recent.areMoreUrgentRefused(urgency, now);
        if (const ServerState *server = m_gateway->directory.find(input.serverChoice.server)) {
            input.freeSlotShare = 1 - server->totalWork().requestsInFlight / double(slots);
            input.utilization = expectedUtilization(
                *server, m_gateway->directory, AdmissionPolicy::Settings().prefillTokensPerMs,
                [&](const ModelName &name) { return promptTokensPerSecond(name, now); });
        }
        AdmissionDecision decision = m_policy.decide(input, spread());
        if (decision.isForShortage)
            m_gateway->recent.recordShortage(urgency, m_gateway->work, now);
        if (decision.action == AdmissionDecision::Action::Refuse)
            decision.retryAfter = m_gateway->estimator.planReturn(
                request, input.serverChoice, decision.retryAfter, input.timeLeft, spread(), now);
        return decision;
    }

    // The policy before: a request for a missing model waits for a quarter of its objective, and
    // nothing is known of other requests.
    AdmissionDecision decideAsFormerly(const AdmissionInput &input)
    {
        if (input.serverChoice.outcome != ServerChoice::Outcome::NoModel)
            return m_policy.decide(input, spread());
        AdmissionDecision decision;
        if (input.waited < input.route->latencyObjective / 4)
            decision.action = AdmissionDecision::Action::Wait;
        decision.retryAfter = boundedRetryAfter(loadTime, input.timeLeft, 0);
        return decision;
    }

    double spread() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void beginLoad(Instant now)
    {
        if (!m_loadedAt)
            m_loadedAt = now + loadTime;
    }

    void send(const Caller &caller, const ServerChoiceInput &request, const ServerChoice &choice,
              Instant now)
    {
        const Kind &kind = kinds[caller.kind];
        m_gateway->chooser.recordRequestSent(choice.server, request);
        ServerState &server = *m_gateway->directory.find(choice.server);
        Engine &engine = m_engines.at(choice.server);
        Run run;
        run.gateway = m_gateway;
        run.server = choice.server;
        run.sentAt = now;
        run.expected = choice.usualTimeToFirstByte;
        run.pace = choice.pace;
        run.work = {1, choice.prefillTokens, choice.kvCacheTokens};
        run.account = accountOf(caller);
        server.ownWork.requestsInFlight += 1;
        server.ownWork.prefillTokens += choice.prefillTokens;
        server.ownWork.kvCacheTokens += choice.kvCacheTokens;
        const double slowdown = now < engine.slowUntil ? slowFactor : 1;
        const double ms = static_cast<double>(kind.tokens) / tokensPerMs / engine.pace * slowdown;
        engine.promptsUntil
            = std::max(engine.promptsUntil, now) + Duration(static_cast<std::int64_t>(ms * 1000));
        run.firstByteAt = engine.promptsUntil;
        m_runs.push_back(run);
        const Duration patience = std::max<Duration>({2s, kind.objective * 4, 3200ms});
        const Duration total = run.firstByteAt - caller.first;
        if (run.firstByteAt - caller.arrivedAt > patience || total > kind.limit)
            record(caller, &Outcome::abandoned, 0);
        else if (total <= kind.objective)
            record(caller, &Outcome::inTime, kind.value);
        else
            record(caller, &Outcome::late, kind.lateValue);
    }

    // Tells each gateway the work of the others, which it knows until the next message.
    void exchangeWork()
    {
        for (const auto &gateway : m_gateways) {
            for (const auto &[name, engine] : m_engines) {
                ServerWork work;
                for (const auto &other : m_gateways) {
                    const ServerWork &own = other->directory.find(name)->ownWork;
                    if (other == gateway)
                        continue;
                    work.requestsInFlight += own.requestsInFlight;
                    work.prefillTokens += own.prefillTokens;
                    work.kvCacheTokens += own.kvCacheTokens;
                }
                gateway->directory.find(name)->peerWork = work;
            }
        }
    }

    // Nothing states the slowdown; it shows in the latencies only.
    void slowEngines(Instant now)
    {
        const double beginShare
            = slowShare / (1 - slowShare) * toSeconds(step) / toSeconds(slowTime);
        for (auto &[name, engine] : m_engines) {
            if (now >= engine.slowUntil
                && std::uniform_real_distribution<double>(0, 1)(m_arrivalRandom) < beginShare)
                engine.slowUntil = now + slowTime;
        }
    }

    void endRuns(Instant now)
    {
        for (const auto &gateway : m_gateways) {
            ServerDirectory &directory = gateway->directory;
            if (!m_loadedAt || now < *m_loadedAt
                || !directory.serversWithModel(missingModel).empty())
                continue;
            ListedServer listed = directory.find(ServerName("engine-1"))->listed;
            listed.loadedModels[missingModel];
            directory.put(listed, now);
        }
        for (Run &run : m_runs) {
            m_gateway = run.gateway;
            ServerState &server = *m_gateway->directory.find(run.server);
            if (!run.hasFirstByte && now >= run.firstByteAt) {
                run.hasFirstByte = true;
                server.ownWork.prefillTokens -= run.work.prefillTokens;
                server.health.recordLatency(run.firstByteAt - run.sentAt, run.expected, run.pace);
            }
            if (now < run.firstByteAt + responseTime)
                continue;
            server.ownWork.requestsInFlight -= 1;
            server.ownWork.kvCacheTokens -= run.work.kvCacheTokens;
            m_gateway->estimator.recordEnd(m_service.name, now - run.sentAt);
            m_gateway->work.remove(run.account);
        }
        std::erase_if(m_runs,
                      [now](const Run &run) { return now >= run.firstByteAt + responseTime; });
    }

    void finish(const Caller &caller, int Outcome::*how, double value)
    {
        m_gateway->work.remove(accountOf(caller));
        record(caller, how, value);
    }

    void record(const Caller &caller, int Outcome::*how, double value)
    {
        std::vector<Outcome *> outcomes{&m_result.all, &m_result.byKind[caller.kind],
                                        &m_result.byAccount[caller.account]};
        if (caller.model == missingModel)
            outcomes.push_back(&m_result.missing);
        for (Outcome *it : outcomes) {
            ++it->count;
            ++(it->*how);
            it->value += value;
            it->possible += kinds[caller.kind].value;
        }
    }

    const bool m_isFormer;
    std::mt19937_64 m_arrivalRandom;
    std::mt19937_64 m_random; // for the spread of retries
    ServiceSpec m_service;
    std::vector<Route> m_routes;
    AdmissionPolicy m_policy{AdmissionPolicy::Settings()};
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    Gateway *m_gateway = nullptr; // whose requests are being handled
    std::map<ServerName, Engine> m_engines;
    double m_capacity = 0; // prompt tokens per second
    double m_rateFactor = 0;
    std::map<ModelName, std::pair<double, Instant>>
        m_demand; // prompt tokens per second, since when
    std::uint64_t m_parts = 0;
    std::optional<Instant> m_loadedAt;
    std::multimap<Instant, Caller> m_arrivals;
    std::vector<Run> m_runs;
    Result m_result;
};

} // namespace

namespace {

struct Comparison
{
    Result former;
    Result now;
};

// The sums over several seeds.
Comparison compare(double load, int gateways = 1)
{
    Comparison sums;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        sums.former.add(Replay(true, load, seed, gateways).run());
        sums.now.add(Replay(false, load, seed, gateways).run());
    }
    std::cout << gateways << " gateways, load " << load << "\n";
    sums.former.print("former policy");
    sums.now.print("this policy");
    return sums;
}

} // namespace

// Load pattern: waves that stay below the capacity except at their crests. With free room the order
// must not cost anything.
TEST(OrderReplayTest, servesAtLeastAsMuchWithFreeRoom)
{
    const Comparison result = compare(0.5);
    EXPECT_GE(result.now.all.share(), result.former.all.share());
    EXPECT_GE(result.now.all.share(), 0.9);
}

// Load pattern: waves whose crests exceed the capacity by far. In the former policy all kinds are
// late because each engine's queue stays longer than their objectives, and bulk work is served
// most.
TEST(OrderReplayTest, servesMoreInTimeAboveTheCapacity)
{
    for (const double load : {0.9, 1.2}) {
        const Comparison result = compare(load);
        EXPECT_GE(result.now.all.share(), result.former.all.share() + 0.1);
        EXPECT_GE(result.now.all.inTime, result.former.all.inTime * 3 / 2);
        EXPECT_LE(result.now.all.abandoned, result.now.all.count / 100);
    }
}

// Load pattern: the same. A more urgent kind must not be served clearly less often than a less
// urgent one, and bulk work that yields must not be starved.
TEST(OrderReplayTest, servesUrgentKindsNoLessThanDeferrableOnes)
{
    const Comparison result = compare(1.2);
    const auto &kinds = result.now.byKind;
    EXPECT_GE(kinds[2].share(), kinds[0].share());
    EXPECT_GE(kinds[0].share(), kinds[1].share() - 0.1);
    EXPECT_GE(kinds[1].inTime + kinds[1].late, kinds[1].count * 9 / 10);
    EXPECT_LT(result.former.byKind[2].share(), result.former.byKind[1].share() - 0.3);
}

// Load pattern: the same, in which one account sends four times its usual. The others must not bear
// the cost of its burst.
TEST(OrderReplayTest, letsTheAccountInABurstPayForIt)
{
    const Comparison result = compare(0.9);
    for (std::size_t i = 1; i < accountShares.size(); ++i) {
        EXPECT_GT(result.now.byAccount[i].share(), result.now.byAccount[0].share() + 0.05);
        EXPECT_GT(result.now.byAccount[i].share(), result.former.byAccount[i].share() + 0.1);
    }
}

// Load pattern: requests for a model whose load takes 8.6 s. Those whose time ends before are
// refused at once, the others wait or return when it is loaded.
TEST(OrderReplayTest, servesMoreRequestsForAModelThatIsBeingLoaded)
{
    const Comparison result = compare(0.9);
    EXPECT_GT(result.now.missing.share(), result.former.missing.share());
    EXPECT_LT(result.now.missing.refused, result.former.missing.refused);
    EXPECT_LT(result.now.uselessWaits, result.former.uselessWaits / 10);
}

// Load pattern: the same at 25 gateways, each of which sees few requests and knows the work of the
// others as of the last message. Estimates are worse then, and a policy that trusts them too much
// refuses what there is room for.
TEST(OrderReplayTest, servesMoreWithStaleKnowledgeOfOtherGateways)
{
    const Comparison below = compare(0.5, 25);
    EXPECT_GE(below.now.all.share(), below.former.all.share());
    for (const double load : {0.9, 1.2}) {
        const Comparison result = compare(load, 25);
        EXPECT_GE(result.now.all.share(), result.former.all.share() + 0.05);
        EXPECT_GE(result.now.byKind[2].share(), result.now.byKind[1].share());
        EXPECT_GE(result.now.byKind[2].share(), result.now.byKind[0].share());
    }
}
