-- Point 7 without an Idempotency-Key: a gateway itself never sends a booking twice, whatever
-- happens to the link to the agent or to the agent.
require("fleet")

local CUT_MS = 1500
local LONG_RUN_MS = 500 -- the gateway has left its first wait for the answer by then
local fleet = startFleet{gateways = 2, services = 2}

-- Lets the work go on for so long.
local function runFor(ms)
    local started = now()
    eventually(2 * ms, "the time to pass", function() return now() > started + ms end)
end

local function trouble(i, how)
    local mark = how .. "-" .. i .. "-end"
    local pending = send("gateway-1", booking(mark, {
        key = fleet.key, path = "/services/counter/bookings?sleep_ms=900"}))
    if i > 1 then
        eventually(3000, mark .. " to run", function() return runsOf(mark) == 1 end)
    end
    if i > 2 then runFor(LONG_RUN_MS) end
    for server = 1, 2 do cut("gateways", "agent-counter-" .. server, how) end
    if i == 4 then kill("agent-counter-1") end
    runFor(CUT_MS)
    for server = 1, 2 do heal("gateways", "agent-counter-" .. server) end
    local answer = pending.finish()
    expect(runsOf(mark) <= 1, mark .. " to run at most once: " .. describe(answer))
    if isCompleted(answer) then expectEqual(runsOf(mark), 1, "runs of completed " .. mark) end
    if runState(answer) == "not-run" then
        expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
    end
    if i == 4 then restart("agent-counter-1") end
    awaitServing("gateway-1", fleet)
end

for _, how in ipairs({"closed", "deaf", "silent"}) do
    for i = 1, 4 do trouble(i, how) end
end
