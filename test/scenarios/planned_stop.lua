-- Point 9: a planned stop of each process is graceful: long streams and calls complete, and the
-- exit status is 0.
require("fleet")

local TOKENS = 400
local fleet = startFleet{gateways = 2, engines = 1, services = 1, models = {small = 1000},
                         engineSettings = {step_ms = 5}}

local function startWork(gateway)
    local work = {
        stream = send(gateway, completion("small", {key = fleet.key, tokens = TOKENS,
                                                    stream = true})),
        whole = send(gateway, completion("small", {key = fleet.key, tokens = TOKENS})),
        call = send(gateway, booking("stop-" .. gateway, {
            key = fleet.key, path = "/services/counter/bookings?sleep_ms=2000"})),
    }
    eventually(5000, "the work to run", function()
        return #work.stream.peek().body > 500 and engineLoad("engine-1").running >= 2
            and runsOf("stop-" .. gateway) >= 1
    end)
    return work
end

local function expectFinished(work, what)
    for kind, it in pairs(work) do
        local response = it.finish()
        expect(isCompleted(response),
               "the " .. kind .. " to complete despite the stop of " .. what .. ": "
               .. describe(response))
        if kind ~= "call" then
            expectEqual(tokensOf(response, "small"), TOKENS, "tokens of the " .. kind)
        end
    end
end

local work = startWork("gateway-1")
askToStop("gateway-1")
expectFinished(work, "gateway-1")
expectStopped("gateway-1")

for _, agent in ipairs({"agent-engine-1", "agent-counter-1"}) do
    work = startWork("gateway-2")
    askToStop(agent)
    expectFinished(work, agent)
    expectStopped(agent)
    restart(agent)
    awaitServing("gateway-2", fleet)
end

-- Idle processes stop gracefully as well.
for _, it in ipairs({"agent-engine-1", "agent-counter-1", "gateway-2"}) do stop(it) end
