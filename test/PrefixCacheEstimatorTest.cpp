#include "Serving/Servers/PrefixCacheEstimator.h"
#include "Serving/Servers/FirstEventEstimator.h"
#include "Serving/Servers/PrefixHolders.h"

#include <gtest/gtest.h>

#include <limits>
#include <set>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
using Memory = PrefixCacheEstimator::Memory;

struct Prompt
{
    explicit Prompt(std::vector<PromptPart> parts)
    {
        metadata.model = ModelName("model");
        metadata.promptParts = std::move(parts);
        for (const PromptPart &it : metadata.promptParts)
            metadata.promptTokens = Tokens(metadata.promptTokens.count() + it.length.count());
        hashes = computePrefixHashes(metadata);
    }
    RequestMetadata metadata;
    std::vector<std::uint64_t> hashes;
};

Prompt longPrompt(std::uint64_t part, std::uint64_t last)
{
    return Prompt({{1, Tokens(2520)}, {part, Tokens(3780)}, {last, Tokens(2890)}});
}

double cached(const PrefixCacheEstimator &estimator, const Prompt &prompt, const Memory &memory,
              Instant now = start, const HeldPrefix &held = {})
{
    return estimator.cachedTokens(prompt.metadata, prompt.hashes, held, memory, now);
}

// Engines by name, of which the first `count` exist.
struct Engines
{
    explicit Engines(int count)
    {
        for (int i = 0; i < count; ++i)
            all.emplace_back("engine-" + std::to_string(i));
        for (const ServerName &it : all)
            pointers.push_back(&it);
    }
    std::set<ServerName> holders(const PrefixHolders &gateway, const Prompt &prompt,
                                 std::size_t parts, Instant now = start) const
    {
        const auto held
            = gateway.heldPrefixes(prompt.metadata, prompt.hashes, pointers, 25, 38, now);
        std::set<ServerName> names;
        for (std::size_t i = 0; i < held.size(); ++i) {
            if (held[i].parts >= parts)
                names.insert(all[i]);
        }
        return names;
    }
    std::vector<ServerName> all;
    std::vector<const ServerName *> pointers;
};

} // namespace

TEST(PrefixCacheEstimatorTest, expectsTheSharedPartsOfAPromptThatWasSent)
{
    PrefixCacheEstimator estimator;
    const Memory memory{100'000, 0};
    EXPECT_EQ(cached(estimator, longPrompt(10, 100), memory), 0);
    const Prompt sent = longPrompt(10, 100);
    estimator.recordPrompt(sent.metadata, sent.hashes, memory, start);
    EXPECT_EQ(cached(estimator, longPrompt(10, 101), memory), 6300);
    EXPECT_EQ(cached(estimator, longPrompt(11, 101), memory), 2520);
    EXPECT_EQ(cached(estimator, Prompt({{2, Tokens(2520)}, {10, Tokens(3780)}}), memory), 0);
}

// Prompts of peers evict as well as own ones: without them, a prefix was believed to stay 25 times
// as long as it did. What running requests take is not available.
TEST(PrefixCacheEstimatorTest, doubtsAPrefixTheMoreTokensWereSentSince)
{
    PrefixCacheEstimator estimator;
    const Prompt sent = longPrompt(10, 100);
    estimator.recordPrompt(sent.metadata, sent.hashes, {100'000, 5'000}, start);
    const Prompt next = longPrompt(10, 101);
    EXPECT_EQ(cached(estimator, next, {100'000, 65'000}), 6300);
    const double half = cached(estimator, next, {100'000, 105'000});
    EXPECT_GT(half, 2000);
    EXPECT_LT(half, 4000);
    EXPECT_LT(cached(estimator, next, {80'000, 105'000}), half);
    EXPECT_EQ(cached(estimator, next, {100'000, 140'000}), 0);
    EXPECT_EQ(cached(estimator, next, {0, 65'000}), 0);
    // Own prompts evict the least recently used prefix first.
    for (std::uint64_t i = 0; i < 20; ++i) {
        const Prompt other = longPrompt(11, 200 + i);
        estimator.recordPrompt(other.metadata, other.hashes, {40'000, 5'000}, start);
    }
    EXPECT_EQ(cached(estimator, next, {40'000, 5'000}), 2520);
    EXPECT_EQ(cached(estimator, longPrompt(11, 101), {40'000, 5'000}), 6300);
}

TEST(PrefixCacheEstimatorTest, doubtsAnOldBelief)
{
    PrefixCacheEstimator estimator;
    const Memory memory{100'000, 0};
    const Prompt sent = longPrompt(10, 100);
    estimator.recordPrompt(sent.metadata, sent.hashes, memory, start);
    EXPECT_LT(cached(estimator, sent, memory, start + 1min), 0.7 * 9190);
    EXPECT_LT(cached(estimator, sent, memory, start + 10min), 0.02 * 9190);
}

TEST(PrefixCacheEstimatorTest, believesThatHoldersProbablyHaveAPrefix)
{
    const PrefixCacheEstimator estimator;
    const Memory memory{100'000, 0};
    EXPECT_DOUBLE_EQ(cached(estimator, longPrompt(10, 100), memory, start, {2, 0.8}), 0.8 * 6300);
    EXPECT_DOUBLE_EQ(cached(estimator, longPrompt(10, 100), memory, start, {1, 0.8}), 0.8 * 2520);
}

// Callers state the lengths of the parts. With lengths of 0, the capacity in tokens limits nothing,
// and the estimate would grow with each request.
TEST(PrefixCacheEstimatorTest, keepsALimitedNumberOfPrefixesWhateverTheirLength)
{
    const Memory memory{100'000, 0};
    for (const std::int64_t length : {100, 0, -100}) {
        PrefixCacheEstimator estimator;
        const Prompt known({{1, Tokens(10)}});
        estimator.recordPrompt(known.metadata, known.hashes, memory, start);
        for (std::uint64_t i = 0; i < 20'000; ++i) {
            const Prompt other({{2 + i, Tokens(length)}});
            estimator.recordPrompt(other.metadata, other.hashes, memory, start);
        }
        EXPECT_EQ(cached(estimator, known, memory), 0) << length;
    }
}

// A caller may state any number of tokens; sums and times must not overflow.
TEST(PrefixCacheEstimatorTest, boundsAbsurdTokenCounts)
{
    PrefixCacheEstimator estimator;
    const Memory memory{100'000, 0};
    const Tokens most(std::numeric_limits<std::int64_t>::max());
    Prompt absurd({{2, most}});
    absurd.metadata.maxOutputTokens = most;
    for (int i = 0; i < 3; ++i)
        estimator.recordPrompt(absurd.metadata, absurd.hashes, memory, start);
    EXPECT_LE(cached(estimator, absurd, memory), 1e9);
    EXPECT_EQ(cached(estimator, longPrompt(10, 100), memory), 0);
    FirstEventEstimator::Input input;
    input.promptTokens = static_cast<double>(most.count());
    const auto estimate = FirstEventEstimator(FirstEventEstimator::Settings()).estimate(input);
    EXPECT_GT(estimate.timeToFirstEvent, 24h);
}

// Gateways that have seen different requests must send a shared part to the same engine, and
// different parts to different engines.
TEST(PrefixHoldersTest, gatewaysAgreeWithoutMessages)
{
    const Engines engines(12);
    const PrefixHolders fresh;
    PrefixHolders busy;
    std::map<ServerName, int> parts;
    for (std::uint64_t part = 10; part < 55; ++part) {
        const Prompt prompt = longPrompt(part, 1000 + part);
        busy.recordRequest(prompt.metadata, prompt.hashes, start);
        const auto holders = engines.holders(fresh, prompt, 2);
        ASSERT_EQ(holders.size(), 1u);
        EXPECT_EQ(engines.holders(busy, prompt, 2), holders);
        ++parts[*holders.begin()];
    }
    EXPECT_GE(parts.size(), 10u);
    for (const auto &[server, count] : parts)
        EXPECT_LE(count, 12) << server.text();
}

// A part in demand must not overload one engine. More holders include the former ones, and a lost
// engine changes the holders of its own parts only.
TEST(PrefixHoldersTest, addHoldersWithTheDemand)
{
    const Engines engines(12);
    PrefixHolders gateway;
    const Prompt prompt = longPrompt(10, 100);
    const auto few = engines.holders(gateway, prompt, 2);
    for (int i = 0; i < 60; ++i)
        gateway.recordRequest(prompt.metadata, prompt.hashes, start + i * 500ms);
    const auto many = engines.holders(gateway, prompt, 2, start + 30s);
    EXPECT_GE(many.size(), 6u);
    EXPECT_LE(many.size(), 12u);
    EXPECT_TRUE(std::includes(many.begin(), many.end(), few.begin(), few.end()));
    EXPECT_EQ(engines.holders(gateway, prompt, 2, start + 10min), few);
    const auto remaining = Engines(11).holders(PrefixHolders(), prompt, 2);
    if (few.count(ServerName("engine-11")) == 0) {
        EXPECT_EQ(remaining, few);
    }
    EXPECT_TRUE(gateway.heldPrefixes(prompt.metadata, prompt.hashes, {}, 25, 38, start).empty());
}

// A gateway that has seen no prompt of a kind must not rely on a holder, since others that have
// seen none either would choose the same one.
TEST(PrefixHoldersTest, areReliedOnByGatewaysThatHaveSeenSuchPrompts)
{
    const Engines engines(4);
    PrefixHolders gateway;
    const auto probability = [&](const Prompt &prompt, Instant now) {
        double highest = 0;
        for (const HeldPrefix &it :
             gateway.heldPrefixes(prompt.metadata, prompt.hashes, engines.pointers, 25, 38, now))
            highest = std::max(highest, it.probability);
        return highest;
    };
    const Prompt seen = longPrompt(10, 100);
    EXPECT_EQ(probability(seen, start), 0);
    gateway.recordRequest(seen.metadata, seen.hashes, start);
    EXPECT_DOUBLE_EQ(probability(longPrompt(10, 101), start), 0.4);
    // Another part after the same first one.
    EXPECT_DOUBLE_EQ(probability(longPrompt(11, 101), start), 0.4);
    for (int i = 0; i < 20; ++i)
        gateway.recordRequest(seen.metadata, seen.hashes, start);
    EXPECT_GT(probability(longPrompt(11, 101), start), 0.75);
    EXPECT_LT(probability(longPrompt(11, 101), start + 1h), 0.1);
}
