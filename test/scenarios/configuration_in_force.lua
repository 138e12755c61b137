-- Point 10: an accepted configuration is in force everywhere within 5 s and never reverts, with
-- concurrent operators, a gateway cut off from the platform, a lost response of the table, and a
-- gateway that is restarted while the platform is down.
require("fleet")

local IN_FORCE_LIMIT_MS = 5000
local fleet = startFleet{gateways = 3, services = 1}
local newest = {} -- gateway name -> newest version seen there

local function checkNoReversal(gateway)
    local version = versionInForce(gateway)
    if not version or version == 0 then return nil end
    expect(version >= (newest[gateway] or 0), gateway .. " not to revert to an older version")
    newest[gateway] = version
    return version
end

local function awaitInForce(version, names)
    eventually(IN_FORCE_LIMIT_MS, "version " .. version .. " in force", function()
        local done = true
        for _, it in ipairs(names or fleet.gateways) do
            done = (checkNoReversal(it) or 0) >= version and done
        end
        return done
    end)
end

local function listWith(n)
    return serviceList(fleet.list) .. "[open GET /services/counter/notice-" .. n .. "]\n"
end

-- Ten times, two operators change the same version through different gateways.
for round = 1, 10 do
    local seen = configuration("gateway-1")
    local args = {}
    for i, gateway in ipairs({"gateway-1", "gateway-2"}) do
        args[i] = sendApply(gateway, listWith(round .. "-" .. i), seen)
    end
    local accepted, refused = 0, 0
    for _, it in ipairs(args) do
        local response = it.finish()
        if response.status == 200 then
            accepted = accepted + 1
            awaitInForce(host.json_value(response.body).version)
        else
            refused = refused + 1
            expectEqual(response.status, 409, "status for the operator whose change came second")
        end
    end
    expectEqual(accepted, 1, "accepted changes out of two concurrent ones")
end

-- A gateway that is cut off from the platform gets the change from its peers.
cut("gateway-3", "platform", "silent")
awaitInForce(apply("gateway-1", listWith("peer")))
expect(isCompleted(call("gateway-3", {path = "/services/counter/notice-peer"})),
       "the new route at the gateway without a platform")
heal("gateway-3", "platform")

-- The table's response to the change is lost: what the operator is told must be true.
local seen = configuration("gateway-1")
faults("platform", {lost_answers = 1})
local response = tryApply("gateway-1", listWith("lost"), seen)
faults("platform")
expect(response.status == 200 or response.status >= 500,
       "status 200 or 5xx, seen " .. response.status)
if response.status == 200 then awaitInForce(host.json_value(response.body).version) end
local version = configuration("gateway-1")
awaitInForce(version)

-- Restarted while the platform is down, a gateway learns the newest version from its peers.
version = apply("gateway-1", listWith("last"))
awaitInForce(version)
faults("platform", {outage = true})
kill("gateway-2")
restart("gateway-2")
newest["gateway-2"] = version
awaitInForce(version)
throughout(2000, "no gateway to revert to an older version", function()
    for _, it in ipairs(fleet.gateways) do checkNoReversal(it) end
    return true
end)
expect(isCompleted(call("gateway-2", {path = "/services/counter/notice-last"})),
       "the newest route at the restarted gateway")
faults("platform")
awaitInForce(version)
