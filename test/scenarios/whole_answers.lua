-- Point 5: each caller gets the complete response to its own request. Streams resume after a link
-- was cut, concurrent responses are not mixed up, and a truncated response is reported as an error.
require("fleet")

local TOKENS = 150
local fleet = startFleet{gateways = 2, engines = 1, services = 1, models = {small = 1000},
                         engineSettings = {step_ms = 5}}

local function expectComplete(response, tokens, what, prompt)
    expect(isCompleted(response), what .. " to be complete: " .. describe(response))
    expectEqual(tokensOf(response, "small", prompt), tokens, "tokens of " .. what)
end

local function isError(response)
    return not response.whole or response.status >= 400 or response.body:find('"error"', 1, true)
end

local function awaitStreamStart(call)
    eventually(5000, "the response to begin", function() return #call.peek().body > 500 end)
    return call
end

-- A link is cut and restored during a stream, in three ways.
for _, how in ipairs({"closed", "silent", "deaf"}) do
    local stream = awaitStreamStart(send("gateway-1", completion("small", {
        key = fleet.key, tokens = TOKENS, stream = true})))
    cut("gateways", "agent-engine-1", how)
    heal("gateways", "agent-engine-1")
    expectComplete(stream.finish(), TOKENS, "a stream over a link cut " .. how)
end

-- Many concurrent responses of different lengths, with a cut link meanwhile.
local streams, calls = {}, {}
for i = 1, 8 do
    streams[i] = send(fleet.gateways[i % 2 + 1], completion("small", {
        key = fleet.key, tokens = 20 + i, stream = i % 3 ~= 0, prompt = "own " .. i}))
    calls[i] = send(fleet.gateways[i % 2 + 1], {
        key = fleet.key, path = "/services/counter/own-" .. i .. "-?sleep_ms=" .. math.random(200)})
end
cut("gateways", "agent-counter-1")
heal("gateways", "agent-counter-1")
for i = 1, 8 do
    expectComplete(streams[i].finish(), 20 + i, "stream " .. i, "own " .. i)
    local response = calls[i].finish()
    if isCompleted(response) then
        expect(response.body:find("own-" .. i .. "-", 1, true), "the response to call " .. i)
    else
        expect(isError(response), "an error instead of the response to call " .. i)
    end
end

-- The backend server closes the connection, after and before the first bytes of the response.
for _, bytes in ipairs({0, 1, 40}) do
    local response = call("gateway-1", {key = fleet.key,
                                      path = "/services/counter/cut?cut_bytes=" .. bytes})
    expect(isError(response), "an error for a truncated response: " .. describe(response))
end

-- The engine truncates a response: the caller gets an error, or the full response of another
-- attempt.
for _, stream in ipairs({true, false}) do
    faults("engine-1", {cut_answers = 1})
    local response = call("gateway-1", completion("small", {key = fleet.key, tokens = 30,
                                                          stream = stream}))
    faults("engine-1")
    if not isError(response) then expectComplete(response, 30, "a response cut by the engine") end
end

-- The agent, then the engine, is killed during a stream.
for _, victim in ipairs({"agent-engine-1", "engine-1"}) do
    local stream = awaitStreamStart(send("gateway-1", completion("small", {
        key = fleet.key, tokens = 400, stream = true})))
    kill(victim)
    local response = stream.finish()
    expect(isError(response),
           "an error for a stream lost with " .. victim .. ": " .. describe(response))
    if victim == "agent-engine-1" then
        restart(victim)
        awaitServing("gateway-1", fleet)
    end
end
