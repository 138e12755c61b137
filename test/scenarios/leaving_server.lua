-- Point 8: a leaving backend server receives no new work after 5 s, while the instance list lags
-- and still calls it live; and so it is when only the list says that it leaves.
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
local function work(n)
    for _ = 1, n do
        sent = sent + 1
        local gateway = fleet.gateways[sent % 2 + 1]
        local answer = call(gateway, {key = fleet.key, path = "/services/counter/work-" .. sent})
        expect(isCompleted(answer), "work to go on: " .. describe(answer))
    end
end

local function expectNoNewWork(server)
    local before = #record(server)
    work(60)
    expectEqual(#record(server), before, "calls that " .. server .. " ran")
end

listInstances(instances())
work(30)
faults("platform", {list_lag_ms = LIST_LAG_MS})

-- counter-1 says so itself, with a long call running that keeps its agent up.
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
local toldAt = now()
askToStop("agent-" .. leaving)
eventually(LEAVING_LIMIT_MS + 1000, "5 s to pass", function()
    work(1)
    return now() > toldAt + LEAVING_LIMIT_MS
end)
expectNoNewWork(leaving)
expect(isCompleted(long.finish()), "the long call to be finished")
expectStopped("agent-" .. leaving)
restart("agent-" .. leaving)

-- The list alone says that a server leaves.
local listed = fleet.services[1] == leaving and fleet.services[2] or fleet.services[1]
faults("platform")
listInstances(instances(listed))
local listedAt = now()
eventually(LEAVING_LIMIT_MS + 1000, "5 s to pass", function()
    work(1)
    return now() > listedAt + LEAVING_LIMIT_MS
end)
expectNoNewWork(listed)
