-- A call to a plain service crashes each server that runs it, and its caller keeps retrying through
-- both gateways: at most two servers may crash, and other calls still succeed.
require("fleet")

local MAX_CRASHED = 2
local fleet = startFleet{gateways = 2, services = 5}
local crashing = {key = fleet.key, path = "/services/counter/crash", headers = {["X-Crash"] = "yes"}}

local function crashedServers()
    local n = 0
    for _, it in ipairs(fleet.services) do
        if hasEnded(it) then n = n + 1 end
    end
    return n
end

for i = 1, 12 do
    local response = call(fleet.gateways[i % 2 + 1], crashing)
    expect(not isCompleted(response), "no success of the crashing call")
    expect(crashedServers() <= MAX_CRASHED,
           "at most two crashed servers, seen " .. crashedServers())
    eventually(5000, "other calls to succeed", function()
        local other = call(fleet.gateways[i % 2 + 1], {key = fleet.key,
                                                       path = "/services/counter/other"})
        return isCompleted(other), describe(other)
    end)
end
expect(crashedServers() >= 1, "the call to have crashed a server")
