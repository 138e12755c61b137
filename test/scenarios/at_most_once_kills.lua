-- Point 7 under kills: an agent or a gateway is killed before, during or after the run of a
-- booking, and the caller retries with the same Idempotency-Key through the other gateway.
require("fleet")

local ROUNDS = 5
local DEADLINE_MS = 3000
-- A dead gateway's claim on a request expires 10 s after the request's deadline.
local FINAL_LIMIT_MS = DEADLINE_MS + 10000 + 5000
local fleet = startFleet{gateways = 2, services = 2}
local victims = {"agent-counter-1", "agent-counter-2", "gateway-1"}

local function retryUntilFinal(mark, request)
    eventually(FINAL_LIMIT_MS, "a final response to " .. mark, function()
        local response = call("gateway-2", request)
        expect(runsOf(mark) <= 1, mark .. " to run at most once")
        if isCompleted(response) then return true end
        expect(runState(response), "a run state: " .. describe(response))
        if runState(response) == "not-run" then
            expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
            return false, describe(response)
        end
        -- A refusal without Retry-After is final: no gateway runs the booking again.
        return not response.headers["retry-after"], describe(response)
    end)
end

for round = 1, ROUNDS do
    local mark = "killed-" .. round .. "-end"
    local victim = victims[math.random(#victims)]
    local phase = ({"before", "during", "after"})[math.random(3)]
    local request = booking(mark, {key = fleet.key, idempotencyKey = mark,
                                   deadlineMs = DEADLINE_MS,
                                   path = "/services/counter/bookings?sleep_ms=300"})
    print("round " .. round .. ": " .. victim .. " killed " .. phase .. " the run")
    local first = send("gateway-1", request)
    if phase == "during" then
        eventually(3000, mark .. " to run", function() return runsOf(mark) == 1 end)
    elseif phase == "after" then
        first.finish()
    end
    kill(victim)
    if phase ~= "after" then
        local response = first.finish()
        if response.whole and runState(response) == "not-run" then
            expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
        end
    end
    retryUntilFinal(mark, request)
    restart(victim)
    for _, it in ipairs(fleet.gateways) do awaitServing(it, fleet) end
    call("gateway-1", request)
    call("gateway-2", request)
    expect(runsOf(mark) <= 1, mark .. " to run at most once after the restart")
end
