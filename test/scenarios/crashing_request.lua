-- A request crashes each engine that runs it, and its caller keeps retrying through both gateways:
-- at most two engines may crash, and other requests of the account still succeed.
require("fleet")

local MAX_CRASHED = 2
local fleet = startFleet{gateways = 2, engines = 4, models = {small = 1000}}
local crashing = completion("small", {key = fleet.key, prompt = "the one that crashes",
                                      body = {crash_engine = true}})

local function crashedEngines()
    local n = 0
    for _, it in ipairs(fleet.engines) do
        if hasEnded(it) then n = n + 1 end
    end
    return n
end

for i = 1, 12 do
    local response = call(fleet.gateways[i % 2 + 1], crashing)
    expect(not isCompleted(response), "no success of the crashing request")
    local crashed = crashedEngines()
    expect(crashed <= MAX_CRASHED, "at most two crashed servers, seen " .. crashed)
    eventually(15000, "other requests of the account to succeed", function()
        local other = call(fleet.gateways[i % 2 + 1], completion("small", {key = fleet.key}))
        return isCompleted(other), describe(other)
    end)
end
expect(crashedEngines() >= 1, "the request to have crashed a server")
