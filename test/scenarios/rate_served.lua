-- The other side of point 4: an account within its rate is not refused, with its requests at any
-- of the gateways, nor wholesale while the platform is out for many times the freshness limit.
require("fleet")

local REFUSED_AT_MOST = 0.1
local fleet = startFleet{gateways = 3, engines = 2, models = {small = 1000},
                         rate = 400, burst = 800, gatewaySettings = {freshness_ms = 500}}

-- At most some 100 tokens a second, a quarter of the rate.
local function askWithinRate(windowMs, gatewayNames)
    local asked, refused, started, last = 0, 0, now(), nil
    while now() < started + windowMs do
        local due = started + asked * 100
        eventually(1000, "the next request to be due", function() return now() >= due end)
        local gateway = gatewayNames[math.random(#gatewayNames)]
        local answer = call(gateway, completion("small", {key = fleet.key, tokens = 5}))
        asked = asked + 1
        if not isCompleted(answer) then
            refused = refused + 1
            last = describe(answer)
        end
    end
    print(string.format("%d asked, %d refused", asked, refused))
    return refused / asked, last
end

local share, last = askWithinRate(2000, fleet.gateways)
expect(share == 0, "no refusal within the rate: " .. tostring(last))
share, last = askWithinRate(2000, {"gateway-2"})
expect(share == 0, "no refusal within the rate at one gateway: " .. tostring(last))
faults("platform", {outage = true})
share, last = askWithinRate(15000, fleet.gateways)
expect(share <= REFUSED_AT_MOST,
       string.format("at most %.2f refused while the platform is out, seen %.2f: %s",
                     REFUSED_AT_MOST, share, tostring(last)))
faults("platform")
eventually(5000, "the gateways to serve without a refusal", function()
    return isCompleted(call("gateway-1", completion("small", {key = fleet.key, tokens = 1})))
end)
share, last = askWithinRate(1000, fleet.gateways)
expect(share == 0, "no refusal after the outage: " .. tostring(last))
