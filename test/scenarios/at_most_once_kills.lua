-- Point 7 under kills: an agent or a gateway is killed before, during or after the run of a
-- booking; the caller repeats it with its Idempotency-Key through the other gateway.
require("fleet")

local ROUNDS = 5
local DEADLINE_MS = 3000
-- A dead gateway's claim ends 10 s after its request's deadline.
local SETTLED_LIMIT_MS = DEADLINE_MS + 10000 + 5000
local fleet = startFleet{gateways = 2, services = 2}
local victims = {"agent-counter-1", "agent-counter-2", "gateway-1"}

local function repeatUntilSettled(mark, request)
    eventually(SETTLED_LIMIT_MS, "a final answer to " .. mark, function()
        local answer = call("gateway-2", request)
        expect(runsOf(mark) <= 1, mark .. " to run at most once")
        if isCompleted(answer) then return true end
        expect(runState(answer), "a run state: " .. describe(answer))
        if runState(answer) == "not-run" then
            expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
            return false, describe(answer)
        end
        -- A refusal without a time to come back is final: nobody runs the booking again.
        return not answer.headers["retry-after"], describe(answer)
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
        local answer = first.finish()
        if answer.whole and runState(answer) == "not-run" then
            expectEqual(runsOf(mark), 0, "runs of " .. mark .. " refused as not run")
        end
    end
    repeatUntilSettled(mark, request)
    restart(victim)
    for _, it in ipairs(fleet.gateways) do awaitServing(it, fleet) end
    call("gateway-1", request)
    call("gateway-2", request)
    expect(runsOf(mark) <= 1, mark .. " to run at most once after the restart")
end
