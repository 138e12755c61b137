-- Point 7: a caller sends one booking with one Idempotency-Key through two gateways at once,
-- and again afterwards. It runs once, and every completed answer is the same.
require("fleet")

local fleet = startFleet{gateways = 2, services = 2}

for i = 1, 10 do
    local mark = "booking-" .. i
    local request = booking(mark, {key = fleet.key, idempotencyKey = mark})
    local first = send("gateway-1", request)
    local second = send("gateway-2", request)
    local answers = {first.finish(), second.finish(), call("gateway-2", request)}

    expectEqual(runsOf(mark), 1, "runs of " .. mark)
    local body
    for _, it in ipairs(answers) do
        if isCompleted(it) then
            body = body or it.body
            expectEqual(it.body, body, "the stored answer of " .. mark)
        else
            expect(runState(it) ~= "not-run", "no \"not-run\" of what ran: " .. describe(it))
        end
    end
    expect(isCompleted(answers[3]), "the repeat to get the stored answer: " .. describe(answers[3]))
end
