-- Point 4: over all gateways, no account receives more than rate x window + burst tokens in any
-- window by the callers' clock. Meanwhile one gateway is killed, one is frozen and resumed, and the
-- platform is unavailable for a while.
require("fleet")

local RATE, BURST = 200, 400
local DELIVERY_JITTER_MS = 250 -- tokens charged at different times may arrive together
local fleet = startFleet{gateways = 3, engines = 2, models = {small = 1000},
                         rate = RATE, burst = BURST}

local responses = drive(fleet.gateways, 6, 9000, function()
    return completion("small", {key = fleet.key, tokens = 10, stream = true})
end, steps{
    {1500, function() freeze("gateway-2") end},
    {3500, function() thaw("gateway-2") end},
    {4000, function() faults("platform", {outage = true}) end},
    {5500, function() faults("platform") end},
    {6000, function() kill("gateway-3") end},
    {7000, function() restart("gateway-3") end},
})

local arrivals, total = {}, 0
for _, response in ipairs(responses) do
    for _, it in ipairs(tokenArrivals(response)) do
        arrivals[#arrivals + 1] = it
        total = total + it.tokens
    end
end
table.sort(arrivals, function(a, b) return a.at_ms < b.at_ms end)

-- Returns the largest excess over the rate in any window: the maximum-sum run of received tokens
-- less the rate's allowance.
local worst, excess, previous = 0, 0, nil
for _, it in ipairs(arrivals) do
    local allowance = previous and RATE * (it.at_ms - previous) / 1000 or 0
    excess = math.max(0, excess - allowance) + it.tokens
    worst = math.max(worst, excess)
    previous = it.at_ms
end
print(string.format("%d responses, %d tokens, worst window %.0f above the rate", #responses,
                    total, worst))
expect(total > BURST, "the account to receive more than its burst in total, seen " .. total)
expect(worst <= BURST + RATE * DELIVERY_JITTER_MS / 1000,
       string.format("no window above rate and burst %d, seen %.0f", BURST, worst))
