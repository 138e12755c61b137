-- Shared by the scenarios about accelerator memory.
require("fleet")

local MEMORY_MB = 10000
local LOADED_LIMIT_MS = 15000
local LISTS = {
    {alpha = 4000, beta = 4000},
    {gamma = 6000, delta = 3000},
    {alpha = 4000, gamma = 6000},
    {beta = 9000},
}

local function checkMemory(engines)
    for _, it in ipairs(engines) do
        local load = engineLoad(it)
        expect(not load.overcommitted, it .. " not to be overcommitted, peak " .. load.peak_mb)
        expect(load.peak_mb <= MEMORY_MB, it .. " to stay within its memory")
    end
    return true
end

local function isLoadedSomewhere(engines, model)
    for _, engine in ipairs(engines) do
        for _, it in ipairs(engineLoad(engine).holdings) do
            if it.name == model and it.ready then return true end
        end
    end
    return false
end

-- Changes the service list repeatedly, with faults of orders and kills of the agent.
function changeUnderFaults(options)
    local fleet = startFleet{
        gateways = 2, engines = 1, models = LISTS[1], memory = MEMORY_MB,
        fencing = options.fencing, agentSettings = {memory_mb = MEMORY_MB},
        engineSettings = {memory_mb = MEMORY_MB, load_ms = 200,
                          checks_fencing = options.checksFencing}}
    local plans = {{lose_orders = 2}, {delay_orders_ms = 300}, {duplicate_orders = 3},
                   {reorder_orders = true}, {lag_report_ms = 400}, {delay_answers_ms = 0}}
    for round = 1, 6 do
        local models = LISTS[math.random(#LISTS)]
        faults("engine-1", plans[round])
        apply("gateway-1", serviceList(merged(fleet.list, {models = models})))
        local killed = round % 2 == 0
        if killed then
            local startedAt = now()
            eventually(3000, "the change to begin", function()
                checkMemory(fleet.engines)
                return now() > startedAt + math.random(50, 400)
            end)
            kill("agent-engine-1")
            restart("agent-engine-1")
        end
        eventually(LOADED_LIMIT_MS, "round " .. round .. ": the models to be loaded", function()
            checkMemory(fleet.engines)
            for model in pairs(models) do
                if not isLoadedSomewhere(fleet.engines, model) then return false, model end
            end
            return true
        end)
        faults("engine-1")
    end
    checkMemory(fleet.engines)
end
