-- Point 7: a caller sends one booking with one Idempotency-Key through two gateways at once,
-- and again afterwards. It runs once, and all successful responses are the same.
require("fleet")

local fleet = startFleet{gateways = 2, services = 2}

for i = 1, 10 do
    local mark = "booking-" .. i
    local request = booking(mark, {key = fleet.key, idempotencyKey = mark})
    local first = send("gateway-1", request)
    local second = send("gateway-2", request)
    local responses = {first.finish(), second.finish(), call("gateway-2", request)}

    expectEqual(runsOf(mark), 1, "runs of " .. mark)
    local body
    for _, it in ipairs(responses) do
        if isCompleted(it) then
            body = body or it.body
            expectEqual(it.body, body, "the stored response of " .. mark)
        else
            expect(runState(it) ~= "not-run",
                   "no \"not-run\" for a request that ran: " .. describe(it))
        end
    end
    expect(isCompleted(responses[3]),
           "the retry to get the stored response: " .. describe(responses[3]))
end
