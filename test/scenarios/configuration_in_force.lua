-- Point 10: an accepted configuration is in force everywhere within 5 s and never reverts: racing
-- operators, a lagging peer, a lost answer of the table, a gateway restarted with the platform down.
require("fleet")

local IN_FORCE_LIMIT_MS = 5000
local fleet = startFleet{gateways = 3, services = 1}
local newest = {} -- gateway -> newest version seen there

local function checkNoReversal(gateway)
    local version = versionInForce(gateway)
    if not version or version == 0 then return nil end
    expect(version >= (newest[gateway] or 0), gateway .. " not to go back")
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

-- Two operators start from the same version, at different gateways, ten times.
for round = 1, 10 do
    local seen = configuration("gateway-1")
    local args = {}
    for i, gateway in ipairs({"gateway-1", "gateway-2"}) do
        args[i] = sendApply(gateway, listWith(round .. "-" .. i), seen)
    end
    local accepted, refused = 0, 0
    for _, it in ipairs(args) do
        local answer = it.finish()
        if answer.status == 200 then
            accepted = accepted + 1
            awaitInForce(host.json_value(answer.body).version)
        else
            refused = refused + 1
            expectEqual(answer.status, 409, "status for the operator who lost the race")
        end
    end
    expectEqual(accepted, 1, "accepted changes of two racing ones")
end

-- A gateway that reaches only its peers.
cut("gateway-3", "platform", "silent")
awaitInForce(apply("gateway-1", listWith("peer")))
expect(isCompleted(call("gateway-3", {path = "/services/counter/notice-peer"})),
       "the new route at the gateway without a platform")
heal("gateway-3", "platform")

-- The table's answer to the change is lost: whatever the operator is told comes true.
local seen = configuration("gateway-1")
faults("platform", {lost_answers = 1})
local answer = tryApply("gateway-1", listWith("lost"), seen)
faults("platform")
expect(answer.status == 200 or answer.status >= 500, "accepted or unknown, seen " .. answer.status)
if answer.status == 200 then awaitInForce(host.json_value(answer.body).version) end
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
throughout(2000, "no gateway to go back", function()
    for _, it in ipairs(fleet.gateways) do checkNoReversal(it) end
    return true
end)
expect(isCompleted(call("gateway-2", {path = "/services/counter/notice-last"})),
       "the newest route at the restarted gateway")
faults("platform")
awaitInForce(version)
