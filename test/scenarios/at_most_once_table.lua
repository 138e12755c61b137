-- Point 7 with a failing table: its response is lost after the write took effect, or it is down.
-- A booking with an Idempotency-Key then runs at most once, and completes in the end.
require("fleet")

local fleet = startFleet{gateways = 2, services = 2, gatewaySettings = {freshness_ms = 3000}}

local function retryUntilCompleted(mark, request)
    eventually(10000, mark .. " to be completed", function()
        local responses = {call("gateway-1", request), call("gateway-2", request)}
        expect(runsOf(mark) <= 1, mark .. " to run at most once")
        for _, it in ipairs(responses) do
            if isCompleted(it) then return true end
            if runState(it) == "not-run" then
                -- The other gateway may have run it, so the number of runs can't be checked here.
                expect(it.status >= 400, "a refusal: " .. describe(it))
            end
        end
        return false, describe(responses[1])
    end)
    expectEqual(runsOf(mark), 1, "runs of " .. mark)
end

for i = 1, 4 do
    local mark = "lost-answer-" .. i .. "-end"
    local request = booking(mark, {key = fleet.key, idempotencyKey = mark})
    faults("platform", {lost_answers = i})
    local response = call("gateway-1", request)
    if runState(response) == "not-run" then
        expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
    end
    faults("platform")
    retryUntilCompleted(mark, request)
end

local mark = "table-down-end"
local request = booking(mark, {key = fleet.key, idempotencyKey = mark})
faults("platform", {outage = true})
local first, second = send("gateway-1", request), send("gateway-2", request)
for _, it in ipairs({first.finish(), second.finish()}) do
    expectEqual(runState(it), "not-run", "run state while the table is down, " .. describe(it))
end
expectEqual(runsOf(mark), 0, "runs while the table is down")
faults("platform")
retryUntilCompleted(mark, request)

-- The table goes down while the booking is running.
mark = "table-down-during-end"
request = booking(mark, {key = fleet.key, idempotencyKey = mark,
                         path = "/services/counter/bookings?sleep_ms=300"})
first = send("gateway-1", request)
eventually(3000, mark .. " to run", function() return runsOf(mark) == 1 end)
faults("platform", {outage = true})
first.finish()
call("gateway-2", request)
expectEqual(runsOf(mark), 1, "runs of " .. mark)
faults("platform")
for _ = 1, 5 do
    call("gateway-1", request)
    call("gateway-2", request)
end
expectEqual(runsOf(mark), 1, "runs of " .. mark .. " after its retries")
