-- Point 5: each caller gets the whole answer to its own request. A cut link is resumed, crossed
-- answers stay apart, and a truncated answer is an error, never a short success.
require("fleet")

local TOKENS = 150
local fleet = startFleet{gateways = 2, engines = 1, services = 1, models = {small = 1000},
                         engineSettings = {step_ms = 5}}

local function expectWhole(answer, tokens, what, prompt)
    expect(isCompleted(answer), what .. " to be whole: " .. describe(answer))
    expectEqual(tokensOf(answer, "small", prompt), tokens, "tokens of " .. what)
end

local function isError(answer)
    return not answer.whole or answer.status >= 400 or answer.body:find('"error"', 1, true)
end

local function midStream(call)
    eventually(5000, "the answer to begin", function() return #call.peek().body > 500 end)
    return call
end

-- A link that is cut and healed in mid-stream, in three ways.
for _, how in ipairs({"closed", "silent", "deaf"}) do
    local stream = midStream(send("gateway-1", completion("small", {
        key = fleet.key, tokens = TOKENS, stream = true})))
    cut("gateways", "agent-engine-1", how)
    heal("gateways", "agent-engine-1")
    expectWhole(stream.finish(), TOKENS, "a stream over a link cut " .. how)
end

-- Many answers at once, of different lengths, with a cut among them.
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
    expectWhole(streams[i].finish(), 20 + i, "stream " .. i, "own " .. i)
    local answer = calls[i].finish()
    if isCompleted(answer) then
        expect(answer.body:find("own-" .. i .. "-", 1, true), "the answer to call " .. i)
    else
        expect(isError(answer), "an error in place of call " .. i)
    end
end

-- The backend server hangs up in the middle, after and before the answer's first bytes.
for _, bytes in ipairs({0, 1, 40}) do
    local answer = call("gateway-1", {key = fleet.key,
                                      path = "/services/counter/cut?cut_bytes=" .. bytes})
    expect(isError(answer), "an error for a truncated answer: " .. describe(answer))
end

-- The engine cuts an answer: an error, or the whole answer by another attempt.
for _, stream in ipairs({true, false}) do
    faults("engine-1", {cut_answers = 1})
    local answer = call("gateway-1", completion("small", {key = fleet.key, tokens = 30,
                                                          stream = stream}))
    faults("engine-1")
    if not isError(answer) then expectWhole(answer, 30, "an answer cut at the engine") end
end

-- The agent, then the engine, is killed in mid-stream.
for _, victim in ipairs({"agent-engine-1", "engine-1"}) do
    local stream = midStream(send("gateway-1", completion("small", {
        key = fleet.key, tokens = 400, stream = true})))
    kill(victim)
    local answer = stream.finish()
    expect(isError(answer), "an error for a stream lost with " .. victim .. ": " .. describe(answer))
    if victim == "agent-engine-1" then
        restart(victim)
        awaitServing("gateway-1", fleet)
    end
end
