-- Point 2: every listed model stays reachable: while a new version is rolled out, and after the
-- loss of the server that had the only copy.
require("fleet")

local REPLACED_LIMIT_MS = 10000
local MODELS = {alpha = 3000, beta = 3000, gamma = 3000}
local fleet = startFleet{gateways = 2, engines = 3, models = MODELS,
                         engineSettings = {load_ms = 100}}

local function ask(model)
    return call(fleet.gateways[math.random(2)], completion(model, {key = fleet.key, tokens = 2}))
end

local function holder(model)
    for _, engine in ipairs(fleet.engines) do
        if not hasEnded(engine) then
            for _, it in ipairs(engineLoad(engine).holdings) do
                if it.name == model and it.ready then return engine, it.version end
            end
        end
    end
end

-- A new version: no request is refused on the way.
apply("gateway-1", serviceList(merged(fleet.list, {version = "2"})))
eventually(15000, "version 2 of every model", function()
    local done = true
    for model in pairs(MODELS) do
        local answer = ask(model)
        expect(isCompleted(answer), model .. " to be reachable: " .. describe(answer))
        local _, version = holder(model)
        done = done and version == "2"
    end
    return done
end)

-- The server with the only copy is lost, with its agent.
local lost = expect(holder("alpha"), "a server with alpha")
kill(lost)
kill("agent-" .. lost)
for model in pairs(MODELS) do
    eventually(REPLACED_LIMIT_MS, model .. " to be reachable again", function()
        local answer = ask(model)
        return isCompleted(answer), describe(answer)
    end)
end

-- A second one: all models fit on the last server.
lost = expect(holder("alpha"), "a server with alpha")
kill(lost)
kill("agent-" .. lost)
for model in pairs(MODELS) do
    eventually(REPLACED_LIMIT_MS, model .. " to be reachable on the last server", function()
        local answer = ask(model)
        return isCompleted(answer), describe(answer)
    end)
end
