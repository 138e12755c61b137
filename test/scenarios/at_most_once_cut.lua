-- Point 7 without an Idempotency-Key: a gateway never sends a booking twice by itself, whatever
-- happens to the agent or to the link to it.
require("fleet")

local CUT_MS = 1500
local LONG_RUN_MS = 500 -- longer than the gateway's first wait for the response
local fleet = startFleet{gateways = 2, services = 2}

-- Waits while the call runs.
local function waitMs(ms)
    local started = now()
    eventually(2 * ms, "the time to pass", function() return now() > started + ms end)
end

local function cutLinkDuringBooking(i, how)
    local mark = how .. "-" .. i .. "-end"
    local pending = send("gateway-1", booking(mark, {
        key = fleet.key, path = "/services/counter/bookings?sleep_ms=900"}))
    if i > 1 then
        eventually(3000, mark .. " to run", function() return runsOf(mark) == 1 end)
    end
    if i > 2 then waitMs(LONG_RUN_MS) end
    for server = 1, 2 do cut("gateways", "agent-counter-" .. server, how) end
    if i == 4 then kill("agent-counter-1") end
    waitMs(CUT_MS)
    for server = 1, 2 do heal("gateways", "agent-counter-" .. server) end
    local response = pending.finish()
    expect(runsOf(mark) <= 1, mark .. " to run at most once: " .. describe(response))
    if isCompleted(response) then expectEqual(runsOf(mark), 1, "runs of completed " .. mark) end
    if runState(response) == "not-run" then
        expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
    end
    if i == 4 then restart("agent-counter-1") end
    awaitServing("gateway-1", fleet)
end

for _, how in ipairs({"closed", "deaf", "silent"}) do
    for i = 1, 4 do cutLinkDuringBooking(i, how) end
end
