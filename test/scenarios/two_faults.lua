-- Two faults at once, chosen by the seed, while bookings with an Idempotency-Key and model requests
-- are sent. Checks that requests run at most once (point 7), that "not-run" is true (6), that
-- callers get their own complete responses (5), that memory is not overcommitted (1), that no
-- configuration reverts (10), and that requests succeed again once the faults have ended.
require("fleet")

local ROUNDS = 4
local DEADLINE_MS = 3000
local fleet = startFleet{gateways = 3, services = 2, engines = 2,
                         models = {small = 1000, large = 9000}, memory = 10000,
                         agentSettings = {memory_mb = 10000},
                         engineSettings = {memory_mb = 10000}}

local function frozen(name)
    return function() freeze(name) end, function() thaw(name) end
end
local function killed(name)
    return function() kill(name) end, function() restart(name) end
end
local function cutLink(from, to, how)
    return function() cut(from, to, how) end, function() heal(from, to) end
end
local function platform(plan)
    return function() faults("platform", plan) end, function() faults("platform") end
end

local possible = {
    {"gateway-1 killed", killed("gateway-1")},
    {"gateway-2 frozen", frozen("gateway-2")},
    {"gateway-3 without platform", cutLink("gateway-3", "platform", "silent")},
    {"gateway-3 without gateway-1", cutLink("gateway-3", "gateway-1", "closed")},
    {"agent-counter-1 killed", killed("agent-counter-1")},
    {"agent-engine-1 killed", killed("agent-engine-1")},
    {"agent-counter-2 deaf", cutLink("gateways", "agent-counter-2", "deaf")},
    {"agent-counter-2 cut from gateway-1", cutLink("agent-counter-2", "gateway-1", "closed")},
    {"platform out", platform({outage = true})},
    {"platform slow", platform({delay_ms = 300})},
    {"platform's responses lost", platform({lost_answers = 5})},
}

local requests = {} -- mark -> request
local newest = {}

local function checkVersions()
    for _, it in ipairs(fleet.gateways) do
        local version = versionInForce(it) or 0
        if version > 0 then
            expect(version >= (newest[it] or 0), it .. " not to revert to an older version")
            newest[it] = version
        end
    end
end

local function checkBooking(mark, response)
    expect(runsOf(mark) <= 1, mark .. " to run at most once")
    if isCompleted(response) then
        expectEqual(runsOf(mark), 1, "runs of completed " .. mark)
        expect(response.body:find(mark, 1, true), mark .. " to get its own response")
    end
end

local function sendRequests(round)
    local pending = {}
    for i = 1, 6 do
        local mark = string.format("two-faults-%d-%d-end", round, i)
        requests[mark] = booking(mark, {key = fleet.key, idempotencyKey = mark,
                                        deadlineMs = DEADLINE_MS,
                                        path = "/services/counter/bookings?sleep_ms=50"})
        -- A frozen gateway doesn't respond; its callers give up and use another gateway.
        pending[mark] = send(fleet.gateways[i % 3 + 1], merged(requests[mark], {timeoutMs = 4000}))
    end
    local prompt = "round " .. round
    local model = send("gateway-1", completion("small", {key = fleet.key, prompt = prompt,
                                                         tokens = 20, stream = round % 2 == 0,
                                                         timeoutMs = 4000}))
    for mark, it in pairs(pending) do checkBooking(mark, it.finish()) end
    local response = model.finish()
    if isCompleted(response) and not response.body:find('"error"', 1, true) then
        expectEqual(tokensOf(response, "small", prompt), 20, "tokens of a successful response")
    end
end

for round = 1, ROUNDS do
    local first = table.remove(possible, math.random(#possible))
    local second = table.remove(possible, math.random(#possible))
    print(string.format("round %d: %s, %s", round, first[1], second[1]))
    first[2]()
    second[2]()
    sendRequests(round)
    second[3]()
    first[3]()
    local version = apply("gateway-2", serviceList(fleet.list) .. "[open GET /services/counter/"
                          .. round .. "]\n")
    for _, it in ipairs(fleet.gateways) do awaitServing(it, fleet, version) end
    checkVersions()
    for mark, request in pairs(requests) do
        checkBooking(mark, call("gateway-1", request))
    end
    for _, it in ipairs(fleet.engines) do
        expect(not engineLoad(it).overcommitted, it .. " not to be overcommitted")
    end
end
