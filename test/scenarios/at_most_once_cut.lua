-- Point 7 without an Idempotency-Key: a gateway itself never sends a booking twice, whatever
-- happens to the link to the agent or to the agent.
require("fleet")

local CUT_MS = 1500
local fleet = startFleet{gateways = 2, services = 2}

local function trouble(i, how)
    local mark = how .. "-" .. i .. "-end"
    local pending = send("gateway-1", booking(mark, {
        key = fleet.key, path = "/services/counter/bookings?sleep_ms=200"}))
    if i % 2 == 0 then
        eventually(3000, mark .. " to run", function() return runsOf(mark) == 1 end)
    end
    for server = 1, 2 do cut("gateways", "agent-counter-" .. server, how) end
    if i % 3 == 0 then kill("agent-counter-1") end
    local cutAt = now()
    eventually(2 * CUT_MS, "the cut to last", function()
        return pending.peek().finished or now() > cutAt + CUT_MS
    end)
    for server = 1, 2 do heal("gateways", "agent-counter-" .. server) end
    local answer = pending.finish()
    expect(runsOf(mark) <= 1, mark .. " to run at most once: " .. describe(answer))
    if isCompleted(answer) then expectEqual(runsOf(mark), 1, "runs of completed " .. mark) end
    if runState(answer) == "not-run" then
        expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
    end
    if i % 3 == 0 then restart("agent-counter-1") end
    awaitServing("gateway-1", fleet)
end

for _, how in ipairs({"closed", "deaf", "silent"}) do
    for i = 1, 3 do trouble(i, how) end
end
