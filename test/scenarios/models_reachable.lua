-- Point 2: every listed model stays reachable while a new version is rolled out, and after the loss
-- of the server with the only replica.
require("fleet")

local REPLACED_LIMIT_MS = 10000
local MODELS = {alpha = 3000, beta = 3000, gamma = 3000}
local fleet = startFleet{gateways = 2, engines = 3, models = MODELS,
                         engineSettings = {load_ms = 100}}

local function request(model)
    return call(fleet.gateways[math.random(2)], completion(model, {key = fleet.key, tokens = 2}))
end

local function serverWith(model)
    for _, engine in ipairs(fleet.engines) do
        if not hasEnded(engine) then
            for _, it in ipairs(engineLoad(engine).holdings) do
                if it.name == model and it.ready then return engine, it.version end
            end
        end
    end
end

-- A new version is rolled out: no request is refused meanwhile.
apply("gateway-1", serviceList(merged(fleet.list, {version = "2"})))
eventually(15000, "version 2 of every model", function()
    local done = true
    for model in pairs(MODELS) do
        local response = request(model)
        expect(isCompleted(response), model .. " to be reachable: " .. describe(response))
        local _, version = serverWith(model)
        done = done and version == "2"
    end
    return done
end)

-- The server with the only replica is lost together with its agent.
local lost = expect(serverWith("alpha"), "a server with alpha")
kill(lost)
kill("agent-" .. lost)
for model in pairs(MODELS) do
    eventually(REPLACED_LIMIT_MS, model .. " to be reachable again", function()
        local response = request(model)
        return isCompleted(response), describe(response)
    end)
end

-- A second server is lost: all models fit on the last one.
lost = expect(serverWith("alpha"), "a server with alpha")
kill(lost)
kill("agent-" .. lost)
for model in pairs(MODELS) do
    eventually(REPLACED_LIMIT_MS, model .. " to be reachable on the last server", function()
        local response = request(model)
        return isCompleted(response), describe(response)
    end)
end
