-- Point 6: a refusal says "not-run" only if no backend server has seen the request.
require("fleet")

local fleet = startFleet{gateways = 2, services = 1, engines = 1, models = {small = 1000},
                         agentSettings = {concurrency = 1, queue_length = 1}}
local gateway = "gateway-1"
local seenRefusals = 0

local function check(mark, response)
    if isCompleted(response) then return end
    seenRefusals = seenRefusals + 1
    expect(runState(response),
           "a run state in the refusal of " .. mark .. ": " .. describe(response))
    if runState(response) == "not-run" then
        expectEqual(runsOf(mark), 0, "runs of refused " .. mark .. ", " .. describe(response))
    end
end

-- No key, an unknown key, an unknown service, an unknown model, and a body that is not JSON.
check("no-key", call(gateway, booking("no-key")))
check("bad-key", call(gateway, booking("bad-key", {key = "qy-unknown"})))
check("bad-service", call(gateway, {path = "/services/nowhere/bad-service", key = fleet.key}))
check("bad-model", call(gateway, completion("unknown", {key = fleet.key, prompt = "bad-model"})))
check("bad-body", call(gateway, {method = "POST", path = "/v1/chat/completions",
                                 key = fleet.key, body = "bad-body"}))
expectEqual(seenRefusals, 5, "refusals of bad requests")

-- The queue is full: one call runs, one waits, the others are refused.
local calls = {}
for i = 1, 6 do
    local mark = "full-" .. i .. "-end"
    calls[mark] = send(gateway, booking(mark, {
        key = fleet.key, path = "/services/counter/bookings?sleep_ms=300"}))
end
local refusals = seenRefusals
for mark, it in pairs(calls) do check(mark, it.finish()) end
expect(seenRefusals > refusals, "a refusal by the full queue")

-- The deadline passes while one call runs and one waits.
local running = send(gateway, booking("late-running", {
    key = fleet.key, deadlineMs = 200, path = "/services/counter/bookings?sleep_ms=800"}))
eventually(2000, "the first call to run", function() return runsOf("late-running") == 1 end)
local waiting = send(gateway, booking("late-waiting", {key = fleet.key, deadlineMs = 200}))
refusals = seenRefusals
check("late-running", running.finish())
check("late-waiting", waiting.finish())
expect(seenRefusals > refusals, "a refusal after the deadline")
eventually(3000, "the server to be idle", function()
    return isCompleted(call(gateway, {path = "/services/counter/idle", key = fleet.key}))
end)

-- The service closes the connection during the response; the agent's link is cut while a call runs.
local cutCall = send(gateway, booking("cut-link", {
    key = fleet.key, path = "/services/counter/bookings?sleep_ms=500"}))
eventually(2000, "the call to run", function() return runsOf("cut-link") == 1 end)
cut("gateways", "agent-counter-1")
local response = cutCall.finish()
heal("gateways", "agent-counter-1")
check("cut-link", response)
expect(runState(response) ~= "not-run",
       "no \"not-run\" for a call that runs: " .. describe(response))

-- The link is cut after the call has run for longer than the gateway's first wait for the response.
eventually(5000, "the agent to be chosen again", function()
    return isCompleted(call(gateway, {path = "/services/counter/idle", key = fleet.key}))
end)
cutCall = send(gateway, booking("cut-later", {
    key = fleet.key, path = "/services/counter/bookings?sleep_ms=1200"}))
eventually(2000, "the call to run", function() return runsOf("cut-later") == 1 end)
local ranAt = now()
eventually(2000, "the first wait to pass", function() return now() > ranAt + 500 end)
cut("gateways", "agent-counter-1")
response = cutCall.finish()
heal("gateways", "agent-counter-1")
check("cut-later", response)
expect(runState(response) ~= "not-run",
       "no \"not-run\" for a call that runs: " .. describe(response))

-- An idempotent call may be sent to another server, but there is none.
eventually(5000, "the agent to be chosen again", function()
    return isCompleted(call(gateway, {path = "/services/counter/idle", key = fleet.key}))
end)
cutCall = send(gateway, {path = "/services/counter/cut-idempotent?sleep_ms=1200", key = fleet.key})
eventually(2000, "the call to run", function() return runsOf("cut-idempotent") >= 1 end)
cut("gateways", "agent-counter-1")
check("cut-idempotent", cutCall.finish())
heal("gateways", "agent-counter-1")

-- The agent is killed while the call runs; another waits in its queue.
eventually(5000, "the agent to be chosen again", function()
    return isCompleted(call(gateway, {path = "/services/counter/idle", key = fleet.key}))
end)
running = send(gateway, booking("killed-running", {
    key = fleet.key, path = "/services/counter/bookings?sleep_ms=500"}))
eventually(2000, "the call to run", function() return runsOf("killed-running") == 1 end)
waiting = send(gateway, booking("killed-waiting", {key = fleet.key}))
kill("agent-counter-1")
check("killed-running", running.finish())
check("killed-waiting", waiting.finish())

-- No agent is running.
eventually(5000, "a refusal because there is no server", function()
    local refused = call(gateway, booking("no-agent", {key = fleet.key}))
    check("no-agent", refused)
    return runState(refused) == "not-run"
end)
