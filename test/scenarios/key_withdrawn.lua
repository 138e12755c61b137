-- Point 3: every gateway rejects a withdrawn key within 5 s, also on connections that stay open.
-- Backend servers never see a key, and open routes need none.
require("fleet")

local WITHDRAWAL_LIMIT_MS = 5000

local fleet = startFleet{gateways = 3, services = 1, engines = 1, models = {small = 1000}}

-- The key doesn't reach a backend server, wherever in the request the caller puts it.
local key = fleet.key
call("gateway-1", {path = "/services/counter/a?k=" .. key, key = key})
call("gateway-1", {path = "/services/counter/b", key = key,
                   headers = {Cookie = "key=" .. key, ["X-Api-Key"] = key, ["X-Other"] = key}})
call("gateway-1", {path = "/services/counter/c", method = "POST", key = key, body = "k=" .. key})
call("gateway-1", completion("small", {key = key, prompt = "my key is " .. key}))
expectEqual(runsOf(key), 0, "records with the key")

-- An open route needs no key, other routes do.
expect(isCompleted(call("gateway-1", {path = "/services/counter/hours"})), "an open route to work")
expectEqual(call("gateway-1", {path = "/services/counter/other"}).status, 401, "status without key")

local function callWithKey(gateway)
    return call(gateway, {path = "/services/counter/use", key = key, connection = gateway})
end
for _, it in ipairs(fleet.gateways) do
    expect(isCompleted(callWithKey(it)), "the key to work at " .. it)
end
withdraw("gateway-1", fleet.keyId)
for _, it in ipairs(fleet.gateways) do
    eventually(WITHDRAWAL_LIMIT_MS, "the key to be rejected at " .. it, function()
        return callWithKey(it).status == 401
    end)
end
throughout(1500, "the key to stay withdrawn", function()
    for _, it in ipairs(fleet.gateways) do
        if isCompleted(callWithKey(it)) then return false, it end
    end
    return true
end)
