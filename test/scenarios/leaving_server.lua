-- Point 8: a leaving backend server receives no new work after 5 s. This holds while the instance
-- list lags and still shows it as live, and also if only the list says that it is leaving.
require("fleet")

local LEAVING_LIMIT_MS = 5000
local LIST_LAG_MS = 20000
local fleet = startFleet{gateways = 2, services = 3, agentSettings = {drain_limit_ms = 30000}}

local function instances(leaving)
    local list = {}
    for i, it in ipairs(fleet.services) do
        list[i] = {instance = "agent-" .. it, address = addressOf("agent-" .. it, "door"),
                   leaving = it == leaving}
    end
    return list
end

local sent = 0
local function sendCalls(n)
    for _ = 1, n do
        sent = sent + 1
        local gateway = fleet.gateways[sent % 2 + 1]
        local response = call(gateway, {key = fleet.key, path = "/services/counter/work-" .. sent})
        expect(isCompleted(response), "a call to succeed: " .. describe(response))
    end
end

local function expectNoNewWork(server)
    local before = #record(server)
    sendCalls(60)
    expectEqual(#record(server), before, "calls that " .. server .. " ran")
end

listInstances(instances())
sendCalls(30)
faults("platform", {list_lag_ms = LIST_LAG_MS})

-- A server announces that it is leaving, and a long call that is running keeps its agent up.
local long = send("gateway-1", {key = fleet.key, path = "/services/counter/long?sleep_ms=9000",
                                timeoutMs = 20000})
local leaving
eventually(3000, "the long call to run", function()
    for _, it in ipairs(fleet.services) do
        for _, entry in ipairs(record(it)) do
            if entry.target:find("/long", 1, true) then leaving = it end
        end
    end
    return leaving
end)
local announcedAt = now()
askToStop("agent-" .. leaving)
eventually(LEAVING_LIMIT_MS + 1000, "5 s to pass", function()
    sendCalls(1)
    return now() > announcedAt + LEAVING_LIMIT_MS
end)
expectNoNewWork(leaving)
expect(isCompleted(long.finish()), "the long call to complete")
expectStopped("agent-" .. leaving)
restart("agent-" .. leaving)

-- Only the instance list says that a server is leaving.
local listed = fleet.services[1] == leaving and fleet.services[2] or fleet.services[1]
faults("platform")
listInstances(instances(listed))
local listedAt = now()
eventually(LEAVING_LIMIT_MS + 1000, "5 s to pass", function()
    sendCalls(1)
    return now() > listedAt + LEAVING_LIMIT_MS
end)
expectNoNewWork(listed)
