-- Point 1: an agent is frozen during a load, a replacement takes over, and the frozen agent is
-- resumed. Its late orders don't overcommit memory, whether the engine checks fencing tokens or
-- not.
require("fleet")

local MEMORY_MB = 10000
-- Many loads, so that the frozen agent still has orders to send when it is resumed.
local FIRST = {a = 1500, b = 1500, c = 1500, d = 1500, e = 1500, f = 1500}
local SECOND = {gamma = 9000}

local function replaceWhileFrozen(fencing)
    local engine = "engine-" .. fencing
    local agent, replacement = "agent-" .. engine, "agent-" .. engine .. "-new"
    local list = {engines = {engine}, models = FIRST, memory = MEMORY_MB, fencing = fencing}
    startEngine(engine, {memory_mb = MEMORY_MB, load_ms = 300,
                         checks_fencing = fencing == "checked"})
    startAgent(engine, {memory_mb = MEMORY_MB})
    apply("gateway-1", serviceList(list))

    local function load()
        local it = engineLoad(engine)
        expect(not it.overcommitted, "no overcommitted memory at " .. engine)
        return it
    end
    eventually(10000, "the first load to begin", function() return load().used_mb > 0 end)
    freeze(agent)
    startAgent(engine, {memory_mb = MEMORY_MB}, replacement)
    apply("gateway-1", serviceList(merged(list, {models = SECOND})))
    eventually(20000, "the replacement to load", function()
        for _, it in ipairs(load().holdings) do
            if it.name == "gamma" and it.ready then return true end
        end
        return false
    end)
    thaw(agent)
    throughout(3000, "memory not to be overcommitted", load)
    kill(agent)
    kill(replacement)
end

startPlatform()
startGateway("gateway-1", {})
replaceWhileFrozen("checked")
replaceWhileFrozen("ignored")
