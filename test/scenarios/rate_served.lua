-- The converse of point 4: an account within its rate is not refused, whichever gateways get its
-- requests, and is mostly served while the platform is out for many times the freshness limit.
require("fleet")

local MAX_REFUSED_FRACTION = 0.1
local fleet = startFleet{gateways = 3, engines = 2, models = {small = 1000},
                         rate = 400, burst = 800, gatewaySettings = {freshness_ms = 500}}

-- At most about 100 tokens per second, a quarter of the rate.
local function sendWithinRate(windowMs, gatewayNames)
    local sent, refused, started, last = 0, 0, now(), nil
    while now() < started + windowMs do
        local due = started + sent * 100
        eventually(1000, "the next request to be due", function() return now() >= due end)
        local gateway = gatewayNames[math.random(#gatewayNames)]
        local response = call(gateway, completion("small", {key = fleet.key, tokens = 5}))
        sent = sent + 1
        if not isCompleted(response) then
            refused = refused + 1
            last = describe(response)
        end
    end
    print(string.format("%d requests, %d refused", sent, refused))
    return refused / sent, last
end

local refusedFraction, last = sendWithinRate(2000, fleet.gateways)
expect(refusedFraction == 0, "no refusal within the rate: " .. tostring(last))
refusedFraction, last = sendWithinRate(2000, {"gateway-2"})
expect(refusedFraction == 0, "no refusal within the rate at one gateway: " .. tostring(last))
faults("platform", {outage = true})
refusedFraction, last = sendWithinRate(15000, fleet.gateways)
expect(refusedFraction <= MAX_REFUSED_FRACTION,
       string.format("at most %.2f refused while the platform is out, seen %.2f: %s",
                     MAX_REFUSED_FRACTION, refusedFraction, tostring(last)))
faults("platform")
eventually(5000, "the gateways to serve without a refusal", function()
    return isCompleted(call("gateway-1", completion("small", {key = fleet.key, tokens = 1})))
end)
refusedFraction, last = sendWithinRate(1000, fleet.gateways)
expect(refusedFraction == 0, "no refusal after the outage: " .. tostring(last))
