-- One request crashes each engine that runs it, and its caller sends it again and again through
-- both gateways: at most two servers are lost to it, and its account's other requests go on.
require("fleet")

local LOST_AT_MOST = 2
local fleet = startFleet{gateways = 2, engines = 4, models = {small = 1000}}
local crashing = completion("small", {key = fleet.key, prompt = "the one that crashes",
                                      body = {crash_engine = true}})

local function lostEngines()
    local n = 0
    for _, it in ipairs(fleet.engines) do
        if hasEnded(it) then n = n + 1 end
    end
    return n
end

for i = 1, 12 do
    local answer = call(fleet.gateways[i % 2 + 1], crashing)
    expect(not isCompleted(answer), "no success of the crashing request")
    local lost = lostEngines()
    expect(lost <= LOST_AT_MOST, "at most two servers lost, seen " .. lost)
    eventually(15000, "the account's other requests to go on", function()
        local other = call(fleet.gateways[i % 2 + 1], completion("small", {key = fleet.key}))
        return isCompleted(other), describe(other)
    end)
end
expect(lostEngines() >= 1, "the request to have crashed a server")
