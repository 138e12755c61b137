#include "Serving/Servers/FirstEventEstimator.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

using Input = FirstEventEstimator::Input;

FirstEventEstimator::Estimate estimate(const Input &input)
{
    return FirstEventEstimator(FirstEventEstimator::Settings()).estimate(input);
}

Input longPrompt()
{
    Input input;
    input.promptTokens = 9'190;
    input.slots = 64;
    return input;
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

} // namespace

TEST(FirstEventEstimatorTest, addsReadingStepsAndTheTokensOfTheFirstEvent)
{
    // 9,190 tokens take 241.8 ms and 5 steps; 4 further steps complete the event of 5 tokens.
    EXPECT_NEAR(milliseconds(estimate(longPrompt()).timeToFirstEvent), 241.8 + 9 * 5.05, 0.1);
    Input busy = longPrompt();
    busy.peerRequests = 40;
    EXPECT_NEAR(milliseconds(estimate(busy).timeToFirstEvent), 241.8 + 9 * (5.05 + 40 * 0.0164),
                0.1);
    busy.slowness = 2.5;
    busy.pathDelay = 20ms;
    EXPECT_NEAR(milliseconds(estimate(busy).timeToFirstEvent),
                2.5 * (241.8 + 9 * (5.05 + 40 * 0.0164)) + 20, 0.3);
}

// An engine without queued prompts, but with requests that wait for a slot, is not free.
TEST(FirstEventEstimatorTest, countsPromptsThatWaitForASlot)
{
    Input full = longPrompt();
    full.statedRequests = 70;
    full.peerRequests = 70;
    EXPECT_GT(estimate(full).timeToFirstEvent, 6 * estimate(longPrompt()).timeToFirstEvent);
}

// Prompts that a silent peer reported long ago have been read since.
TEST(FirstEventEstimatorTest, discountsOldReports)
{
    Input input = longPrompt();
    input.peerQueuedTokens = 20'000;
    const Duration fresh = estimate(input).timeToFirstEvent;
    input.peerAge = 400ms;
    EXPECT_EQ(estimate(input).timeToFirstEvent, fresh);
    input.peerAge = 800ms;
    EXPECT_LT(estimate(input).timeToFirstEvent, fresh);
    input.peerAge = 5s;
    EXPECT_EQ(estimate(input).timeToFirstEvent, estimate(longPrompt()).timeToFirstEvent);
    // The gateway knows its own requests at first hand.
    input.ownQueuedTokens = 20'000;
    EXPECT_EQ(estimate(input).timeToFirstEvent, fresh);
}

// Neither of two counts of the same requests may hide the other; own requests are certain.
TEST(FirstEventEstimatorTest, combinesStatedAndReportedRequests)
{
    Input input = longPrompt();
    input.ownRequests = 6;
    input.peerRequests = 14;
    EXPECT_EQ(estimate(input).requests, 20);
    input.statedRequests = 10;
    EXPECT_EQ(estimate(input).requests, 15);
    input.statedRequests = 0;
    input.peerRequests = 0;
    EXPECT_EQ(estimate(input).requests, 6);
}

// Two long prompts in a row stall the streams that run there for more than 400 ms.
TEST(FirstEventEstimatorTest, chargesTheStallOfRunningStreams)
{
    Input input = longPrompt();
    input.eventGapObjective = 400ms;
    input.ownRequests = 1;
    EXPECT_EQ(estimate(input).gapCost, 0ms);
    input.peerQueuedTokens = 9'190;
    EXPECT_GT(estimate(input).gapCost, 0ms);
    input.eventGapObjective = 0ms;
    EXPECT_EQ(estimate(input).gapCost, 0ms);
    input.eventGapObjective = 400ms;
    input.ownRequests = 0;
    EXPECT_EQ(estimate(input).gapCost, 0ms);
}
