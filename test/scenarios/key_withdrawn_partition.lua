-- Point 3 under faults: while a key is withdrawn, one gateway is frozen and resumed later, and one
-- is cut off from the platform and its peers but not from its callers. The platform goes down just
-- after the withdrawal.
require("fleet")

local WITHDRAWAL_LIMIT_MS = 5000

local fleet = startFleet{gateways = 3, services = 1}
local function callWithKey(gateway)
    return call(gateway, {path = "/services/counter/use", key = fleet.key, connection = gateway})
end

cut("gateway-2", "platform", "silent")
cut("gateway-2", "gateway-1", "silent")
cut("gateway-2", "gateway-3", "silent")
freeze("gateway-3")
withdraw("gateway-1", fleet.keyId)
local withdrawnAt = now()
faults("platform", {outage = true})
eventually(WITHDRAWAL_LIMIT_MS, "the key to be rejected at the gateway that is cut off", function()
    return not isCompleted(callWithKey("gateway-2"))
end)
expectEqual(callWithKey("gateway-1").status, 401, "status at the gateway that withdrew it")

throughout(math.max(0, withdrawnAt + WITHDRAWAL_LIMIT_MS - now()), "the key to stay rejected", function()
    return not isCompleted(callWithKey("gateway-2")) and not isCompleted(callWithKey("gateway-1"))
end)
thaw("gateway-3")
throughout(1500, "the key to be rejected by the resumed gateway", function()
    return not isCompleted(callWithKey("gateway-3"))
end)

faults("platform")
heal("gateway-2", "platform")
heal("gateway-2", "gateway-1")
heal("gateway-2", "gateway-3")
for _, it in ipairs(fleet.gateways) do
    eventually(5000, "the key to be known as withdrawn at " .. it, function()
        return callWithKey(it).status == 401
    end)
end
