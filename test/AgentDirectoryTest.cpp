#include "Core/Routing/AgentDirectory.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

TEST(AgentDirectoryTest, excludesInstancesListedAsLeaving)
{
    AgentDirectory directory(Duration(3s));
    const Instant now{1h};
    AgentStatus status;
    status.instance = InstanceId("agent-1");
    status.incarnation = Incarnation(1);
    status.availableTargets = {"small"};
    directory.setLeavingInstances({InstanceId("agent-1")});
    directory.update(status, now);
    const auto &candidates = directory.agentsServing("small").all;
    ASSERT_EQ(candidates.size(), 1U);
    EXPECT_FALSE(directory.isAvailable(*candidates.front(), now));
    directory.setLeavingInstances({});
    EXPECT_TRUE(directory.isAvailable(*candidates.front(), now));
}
