-- Point 1 with engines that ignore fencing numbers: memory is never overcommitted while the list
-- changes, orders are lost, late, duplicated and reordered, and the agent is killed in mid-load.
require("memory")

changeUnderFaults{fencing = "ignored", checksFencing = false}
