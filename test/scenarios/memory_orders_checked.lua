-- Point 1 with engines that check fencing tokens: memory is never overcommitted while the list
-- changes, orders are lost, delayed, duplicated and reordered, and the agent is killed during
-- loads.
require("memory")

changeUnderFaults{fencing = "checked", checksFencing = true}
