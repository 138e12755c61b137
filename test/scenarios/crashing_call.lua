-- One call to a plain service crashes each server that runs it, and its caller sends it again and
-- again through both gateways: at most two servers are lost to it, and other calls go on.
require("fleet")

local LOST_AT_MOST = 2
local fleet = startFleet{gateways = 2, services = 5}
local crashing = {key = fleet.key, path = "/services/counter/crash", headers = {["X-Crash"] = "yes"}}

local function lostServers()
    local n = 0
    for _, it in ipairs(fleet.services) do
        if hasEnded(it) then n = n + 1 end
    end
    return n
end

for i = 1, 12 do
    local answer = call(fleet.gateways[i % 2 + 1], crashing)
    expect(not isCompleted(answer), "no success of the crashing call")
    expect(lostServers() <= LOST_AT_MOST, "at most two servers lost, seen " .. lostServers())
    eventually(5000, "other calls to go on", function()
        local other = call(fleet.gateways[i % 2 + 1], {key = fleet.key,
                                                       path = "/services/counter/other"})
        return isCompleted(other), describe(other)
    end)
end
expect(lostServers() >= 1, "the call to have crashed a server")
