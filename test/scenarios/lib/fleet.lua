-- Functions for scenarios: processes, links, operators, callers, run logs and expectations.
-- Requiring this module defines them as globals.

local OPERATOR_SECRET = "operator-secret-of-the-scenario"
local FLEET_SECRET = "fleet-secret-of-the-scenario"
local STOP_LIMIT_MS = 15000
local OPERATOR_TIMEOUT_MS = 20000

local processes = {} -- name -> {kind, program, settings, addresses, links to it}
local linksTo = {}   -- name of the far end -> list of {link, address kind}
local servers = {}   -- names of the backend servers, in order
local gateways = {}  -- names of the gateways, in order

-- Expectations ---------------------------------------------------------------------------------

function fail(text)
    error(text, 2)
end

function expect(condition, text)
    if not condition then error("expected " .. text, 2) end
    return condition
end

function expectEqual(seen, wanted, text)
    if seen ~= wanted then
        error(string.format("expected %s: %s, seen %s", text, tostring(wanted), tostring(seen)), 2)
    end
end

function now()
    return host.now_ms()
end

-- Polls `condition` until it returns a true value, at most `limitMs`; returns that value.
function eventually(limitMs, text, condition)
    local deadline = now() + limitMs
    local detail
    while true do
        local value
        value, detail = condition()
        if value then return value end
        if now() > deadline then
            error(string.format("expected within %d ms: %s%s", limitMs, text,
                                detail and (" (" .. tostring(detail) .. ")") or ""), 2)
        end
        host.poll_pause()
    end
end

-- Polls `condition` for `windowMs` and fails as soon as it is false.
function throughout(windowMs, text, condition)
    local deadline = now() + windowMs
    repeat
        local value, detail = condition()
        if not value then
            error(string.format("expected all the time: %s%s", text,
                                detail and (" (" .. tostring(detail) .. ")") or ""), 2)
        end
        host.poll_pause()
    until now() > deadline
end

-- Processes ------------------------------------------------------------------------------------

local function settingsText(section, values)
    local lines = {"[" .. section .. "]"}
    for name, value in pairs(values) do
        if value == true then value = "yes" elseif value == false then value = "no" end
        lines[#lines + 1] = name .. " = " .. tostring(value)
    end
    return table.concat(lines, "\n") .. "\n"
end

function merged(...)
    local result = {}
    for _, values in ipairs({...}) do
        for name, value in pairs(values) do result[name] = value end
    end
    return result
end

local function secretFile(name, text)
    return host.write_file{name = name, text = text .. "\n"}
end

-- Returns the address of the link between two processes, which can exist before its far end does.
local function link(from, to, kind)
    local name = from .. ">" .. to .. ":" .. kind
    local known = linksTo[to] or {}
    linksTo[to] = known
    if not known[name] then
        known[name] = {kind = kind, address = host.add_link{name = name}}
        local far = processes[to]
        if far and far.addresses then
            host.set_link{name = name, target = far.addresses[kind]}
        end
    end
    return known[name].address
end

local function launch(name)
    local it = processes[name]
    it.addresses = host.start{name = name, program = it.program,
                              settings = settingsText(it.section, it.settings)}
    for linkName, known in pairs(linksTo[name] or {}) do
        host.set_link{name = linkName, target = it.addresses[known.kind]}
    end
    return name
end

local function define(name, program, section, settings)
    processes[name] = {program = program, section = section, settings = settings}
    return launch(name)
end

function startPlatform(settings)
    return define("platform", "quetzalyoke-standin-platform", "standin",
                  merged({listen = "127.0.0.1:0", connections = 128}, settings or {}))
end

function startEngine(name, settings)
    servers[#servers + 1] = name
    return define(name, "quetzalyoke-standin-engine", "standin",
                  merged({listen = "127.0.0.1:0", connections = 64, load_ms = 20, step_ms = 2},
                         settings or {}))
end

function startService(name, settings)
    servers[#servers + 1] = name
    return define(name, "quetzalyoke-standin-service", "standin",
                  merged({listen = "127.0.0.1:0", connections = 64}, settings or {}))
end

-- `peers` are the names of the other gateways, including those that are not started yet.
function startGateway(name, peers, settings)
    gateways[#gateways + 1] = name
    local addresses = {}
    for _, it in ipairs(peers) do addresses[#addresses + 1] = link(name, it, "door") end
    return define(name, "quetzalyoke-gateway", "gateway", merged({
        instance = name,
        zone = "zone-a",
        http_listen = "127.0.0.1:0",
        listen = "127.0.0.1:0",
        peers = table.concat(addresses, ", "),
        peer_addresses = "settings",
        platform_address = link(name, "platform", "http"),
        fleet_secret_file = secretFile("fleet.secret", FLEET_SECRET),
        operator_secret_file = secretFile("operator.secret", OPERATOR_SECRET),
        connections = 64,
        poll_interval_ms = 100,
        platform_timeout_ms = 500,
        freshness_ms = 1000,
        agent_silence_ms = 1500,
    }, settings or {}))
end

-- Starts the agent of backend server `server` as process `name`, "agent-<server>" by default.
function startAgent(server, settings, name)
    name = name or "agent-" .. server
    local isEngine = processes[server].program == "quetzalyoke-standin-engine"
    local addresses = {}
    for _, it in ipairs(gateways) do addresses[#addresses + 1] = link(name, it, "door") end
    return define(name, "quetzalyoke-agent", "agent", merged({
        instance = name,
        server = server,
        zone = "zone-a",
        listen = "127.0.0.1:0",
        http_listen = "127.0.0.1:0",
        advertise = link("gateways", name, "door"),
        backend = link(name, server, "http"),
        backend_kind = isEngine and "engine" or "service",
        memory_mb = isEngine and 80000 or 0,
        gateways = table.concat(addresses, ", "),
        gateway_addresses = "settings",
        fleet_secret_file = secretFile("fleet.secret", FLEET_SECRET),
        concurrency = 16,
        connections = 64,
        report_interval_ms = 100,
        engine_interval_ms = 50,
        order_timeout_ms = 3000,
        order_authority_ms = 1000,
    }, settings or {}))
end

-- Returns an address that a process listens on; the kind is "http" or "door".
function addressOf(name, kind)
    return processes[name].addresses[kind]
end

function kill(name)
    host.signal{name = name, signal = "KILL"}
    eventually(2000, name .. " has ended", function()
        return host.wait_for_end{name = name}.ended
    end)
end

-- Tells the process to stop, without waiting for its end.
function askToStop(name)
    host.signal{name = name, signal = "TERM"}
end

function expectStopped(name, limitMs)
    local ending = host.wait_for_end{name = name, limit_ms = limitMs or STOP_LIMIT_MS}
    expect(ending.ended, name .. " to end in time")
    expectEqual(ending.exit_status, 0, "exit status of " .. name)
end

function hasEnded(name)
    return host.wait_for_end{name = name}.ended
end

function stop(name)
    askToStop(name)
    expectStopped(name)
end

function freeze(name)
    host.signal{name = name, signal = "STOP"}
end

function thaw(name)
    host.signal{name = name, signal = "CONT"}
end

-- Starts a process again with its previous name and settings, as a replacement.
function restart(name, settings)
    processes[name].settings = merged(processes[name].settings, settings or {})
    launch(name)
end

-- Links ----------------------------------------------------------------------------------------

local function setLinks(from, to, state)
    local found = false
    for name in pairs(linksTo[to] or {}) do
        if name:sub(1, #from + 1) == from .. ">" then
            host.set_link{name = name, state = state}
            found = true
        end
    end
    expect(found, "a link from " .. from .. " to " .. to)
end

-- `how`: "closed" ends connections, "silent" holds all bytes, "deaf" holds the responses.
-- `from` = "gateways" means from every gateway.
function cut(from, to, how)
    setLinks(from, to, how or "closed")
end

function heal(from, to)
    setLinks(from, to, "open")
end

-- Platform and stand-ins -----------------------------------------------------------------------

-- Sends one HTTP request. Returns a table with whole, status, headers (lower case), body, error and
-- took_ms.
local function exchange(request)
    return host.answer{call = host.send(request), wait = true}
end

local function callStandIn(name, kind, method, path, body)
    local response = exchange{address = processes[name].addresses.http, method = method,
                              path = path, body = body or ""}
    expect(response.whole and response.status < 300,
           string.format("%s to take %s (%s %s)", name, path, response.status, response.error))
    return response
end

-- Sets the faults of a stand-in. Fields of the platform: outage, lost_answers, delay_ms,
-- list_lag_ms. Without fields, all faults end.
function faults(name, plan)
    callStandIn(name, "http", "POST", "/faults", host.json_text(plan or {}))
end

-- Sets the platform's list of instances: {{instance=, address=, leaving=}, ...}.
function listInstances(instances)
    local list = #instances == 0 and "[]" or host.json_text(instances)
    callStandIn("platform", "http", "PUT", "/instances", '{"instances":' .. list .. "}")
end

-- Returns what a backend server ran: a list of {request=, headers=, body=, ...}.
function record(server)
    local entries = {}
    for line in callStandIn(server, "http", "GET", "/record").body:gmatch("[^\n]+") do
        entries[#entries + 1] = host.json_value(line)
    end
    return entries
end

function engineLoad(server)
    return host.json_value(callStandIn(server, "http", "GET", "/load").body)
end

-- Returns how many run log entries of all running backend servers contain `mark`.
function runsOf(mark)
    local n = 0
    for _, server in ipairs(servers) do
        if not hasEnded(server) then
            for _, it in ipairs(record(server)) do
                if host.json_text(it):find(mark, 1, true) then n = n + 1 end
            end
        end
    end
    return n
end

-- Operators ------------------------------------------------------------------------------------

local function operate(gateway, method, path, body)
    return exchange{address = processes[gateway].addresses.http, method = method, path = path,
                    body = body or "", timeout_ms = OPERATOR_TIMEOUT_MS,
                    headers = {Authorization = "Bearer " .. OPERATOR_SECRET}}
end

local function accepted(response, what)
    expect(response.whole and response.status == 200,
           string.format("%s (%d %s%s)", what, response.status, response.body, response.error))
    return host.json_value(response.body)
end

-- Returns the version in force at a gateway, and its text.
function configuration(gateway)
    local it = accepted(operate(gateway, "GET", "/operator/configuration"), "a configuration")
    return it.version, it.text
end

-- Returns the HTTP response; status 200 means that the list was accepted.
function tryApply(gateway, text, seen)
    return operate(gateway, "PUT", "/operator/configuration?seen=" .. seen, text)
end

-- Does the same in the background.
function sendApply(gateway, text, seen)
    local id = host.send{address = addressOf(gateway, "http"), method = "PUT", body = text,
                         path = "/operator/configuration?seen=" .. seen,
                         timeout_ms = OPERATOR_TIMEOUT_MS,
                         headers = {Authorization = "Bearer " .. OPERATOR_SECRET}}
    return {finish = function() return host.answer{call = id, wait = true} end}
end

-- Applies a service list and returns its version.
function apply(gateway, text)
    local seen = configuration(gateway)
    return accepted(tryApply(gateway, text, seen), "the list to be accepted").version
end

-- Returns the version that a gateway uses, without a read of the table; nil if it doesn't respond.
function versionInForce(gateway)
    local response = operate(gateway, "GET", "/operator/status")
    if not response.whole or response.status ~= 200 then return nil end
    return host.json_value(response.body).configuration_version
end

-- Returns a gateway's status, with the agents that it knows, as in quetzalyokectl status.
function status(gateway)
    return accepted(operate(gateway, "GET", "/operator/status"), "a status")
end

-- Grants a key and returns {id=, key=}.
function grant(gateway, account)
    return accepted(operate(gateway, "POST", "/operator/keys?account=" .. account), "a key")
end

function tryWithdraw(gateway, id)
    return operate(gateway, "DELETE", "/operator/keys/" .. id)
end

function withdraw(gateway, id)
    accepted(tryWithdraw(gateway, id), "the key to be withdrawn")
end

-- Callers --------------------------------------------------------------------------------------

local function request(gateway, args)
    local headers = merged(args.headers or {})
    if args.key then headers.Authorization = "Bearer " .. args.key end
    if args.idempotencyKey then headers["Idempotency-Key"] = args.idempotencyKey end
    if args.deadlineMs then headers["Quetzalyoke-Deadline-Ms"] = tostring(args.deadlineMs) end
    return {address = processes[gateway].addresses.http, method = args.method or "GET",
            path = args.path, body = args.body or "", headers = headers,
            timeout_ms = args.timeoutMs or 10000, connection = args.connection}
end

-- Sends a request and waits for the response. `connection` names a connection that stays open.
function call(gateway, args)
    return exchange(request(gateway, args))
end

-- Sends a request in the background. peek() returns what has arrived so far, finish() waits for
-- the end, and abandon() closes the connection.
function send(gateway, args)
    local id = host.send(request(gateway, args))
    return {
        peek = function() return host.answer{call = id} end,
        finish = function() return host.answer{call = id, wait = true} end,
        abandon = function() host.abandon{call = id} end,
    }
end

DEFAULT_PROMPT = "hello"

-- Returns a completion request for a model.
function completion(model, args)
    args = args or {}
    local body = merged({model = model, max_tokens = args.tokens or 4, stream = args.stream or false,
                         messages = {{role = "user", content = args.prompt or DEFAULT_PROMPT}}},
                        args.body or {})
    return merged(args, {method = "POST", path = "/v1/chat/completions",
                         body = host.json_text(body)})
end

-- Returns a booking at the service "counter", which must run at most once.
function booking(mark, args)
    return merged({method = "POST", path = "/services/counter/bookings",
                   body = host.json_text{mark = mark}}, args or {})
end

function runState(response)
    return response.headers["quetzalyoke-run-state"]
end

function isCompleted(response)
    return response.whole and response.status >= 200 and response.status < 300
end

local TOKEN_PATTERN = "(%x%x%x%x%x%x%x%x)%-(%d+) " -- hash of model and prompt, number of the token

-- Returns the hash in every token that the engine stand-in generates for this model and prompt.
function answerHash(model, prompt)
    local hash = 2166136261
    for i = 1, #model + 1 + #prompt do
        hash = ((hash ~ (model .. "\n" .. prompt):byte(i)) * 16777619) & 0xffffffff
    end
    return string.format("%08x", hash)
end

-- Returns the number of generated tokens in a response. Fails if one is missing, repeated, out of
-- order, or generated for another model or prompt.
function tokensOf(response, model, prompt)
    local wanted, n = answerHash(model, prompt or DEFAULT_PROMPT), 0
    for hash, i in response.body:gmatch(TOKEN_PATTERN) do
        expectEqual(hash, wanted, "origin of token " .. i)
        expectEqual(tonumber(i), n, "number of the next token")
        n = n + 1
    end
    return n
end

-- Returns when the generated tokens of a response arrived: {{at_ms=, tokens=}, ...}.
function tokenArrivals(response)
    local result, seen = {}, 0
    for _, it in ipairs(response.arrivals) do
        local _, tokens = response.body:sub(1, it.bytes):gsub(TOKEN_PATTERN, "")
        if tokens > seen then
            result[#result + 1] = {at_ms = it.at_ms, tokens = tokens - seen}
            seen = tokens
        end
    end
    return result
end

-- Keeps `n` requests in flight for `windowMs` at each of the named gateways.
-- `make(i)` returns the i-th request, `tick(ms)` is called between them with the elapsed time.
-- Returns all responses.
function drive(gatewayNames, n, windowMs, make, tick)
    local started, responses, running, i = now(), {}, {}, 0
    local function launchMissing()
        for _, gateway in ipairs(gatewayNames) do
            running[gateway] = running[gateway] or {}
            for slot = 1, n do
                local it = running[gateway][slot]
                if not it or it.peek().finished then
                    if it then responses[#responses + 1] = it.finish() end
                    i = i + 1
                    running[gateway][slot] = send(gateway, make(i))
                end
            end
        end
    end
    while now() < started + windowMs do
        launchMissing()
        if tick then tick(now() - started) end
        host.poll_pause()
    end
    for _, slots in pairs(running) do
        for _, it in pairs(slots) do responses[#responses + 1] = it.finish() end
    end
    return responses
end

-- Takes a table of steps {{afterMs, action}, ...}. Returns a function that runs those that are due.
function steps(list)
    local done = 0
    return function(passedMs)
        while list[done + 1] and passedMs >= list[done + 1][1] do
            done = done + 1
            list[done][2]()
        end
    end
end

-- Describes a response for messages.
function describe(response)
    return string.format("status %d, run state %s, error '%s', body %s", response.status,
                         runState(response) or "-", response.error, response.body:sub(1, 200))
end

-- Fleets ---------------------------------------------------------------------------------------

ACCOUNT = "pony-club"
SECOND_ACCOUNT = "large-station"

-- Returns the text of a service list. Fields: engines (names or {name=, fencing=}), services
-- (names), models {name = memory_mb}, version, rate, burst.
function serviceList(options)
    local lines = {}
    local function add(...) lines[#lines + 1] = string.format(...) end
    for _, it in ipairs(options.engines or {}) do
        add("[server %s]\nkind = engine\nzone = zone-a\nmemory_mb = %d\nfencing = %s", it,
            options.memory or 80000, options.fencing or "checked")
    end
    for _, it in ipairs(options.services or {}) do
        add("[server %s]\nkind = service\nzone = zone-a\nservice = counter", it)
    end
    for name, memory in pairs(options.models or {}) do
        add("[model %s]\nversion = %s\nmemory_mb = %d", name, options.version or "1", memory)
    end
    if #(options.services or {}) > 0 then
        add("[service counter]\nnon_idempotent = POST /bookings*")
        add("[open GET /services/counter/hours]")
    end
    for _, it in ipairs({ACCOUNT, SECOND_ACCOUNT}) do
        add("[account %s]\nrate_tokens_per_s = %d\nburst_tokens = %d", it,
            options.rate or 100000, options.burst or 100000)
    end
    return table.concat(lines, "\n") .. "\n"
end

local function names(prefix, n)
    local result = {}
    for i = 1, n do result[i] = prefix .. i end
    return result
end

-- Starts a platform, gateways, backend servers with their agents, and applies a service list.
-- Options: gateways, engines, services (counts), models, rate, burst, fencing, and
-- platformSettings, gatewaySettings, engineSettings, agentSettings, serviceSettings.
-- Returns {gateways=, engines=, services=, list=, key=, keyId=}.
function startFleet(options)
    options = options or {}
    local fleet = {gateways = names("gateway-", options.gateways or 2),
                   engines = names("engine-", options.engines or 0),
                   services = names("counter-", options.services or 0)}
    startPlatform(options.platformSettings)
    for _, it in ipairs(fleet.engines) do startEngine(it, options.engineSettings) end
    for _, it in ipairs(fleet.services) do startService(it, options.serviceSettings) end
    for _, it in ipairs(fleet.gateways) do
        local peers = {}
        for _, peer in ipairs(fleet.gateways) do
            if peer ~= it then peers[#peers + 1] = peer end
        end
        startGateway(it, peers, options.gatewaySettings)
    end
    for _, it in ipairs(fleet.engines) do startAgent(it, options.agentSettings) end
    for _, it in ipairs(fleet.services) do startAgent(it, options.agentSettings) end
    fleet.list = merged(options, {engines = fleet.engines, services = fleet.services})
    local version = apply("gateway-1", serviceList(fleet.list))
    local granted = grant("gateway-1", ACCOUNT)
    fleet.key, fleet.keyId = granted.key, granted.id
    for _, it in ipairs(fleet.gateways) do awaitServing(it, fleet, version) end
    return fleet
end

-- Waits until a gateway serves the fleet's models and services.
function awaitServing(gateway, fleet, version)
    eventually(15000, gateway .. " to serve", function()
        if version and (versionInForce(gateway) or 0) < version then return false end
        for model in pairs(fleet.list.models or {}) do
            local response = call(gateway, completion(model, {key = fleet.key, tokens = 1}))
            if not isCompleted(response) then return false, describe(response) end
        end
        if #fleet.services > 0 then
            local response = call(gateway, {path = "/services/counter/ready", key = fleet.key})
            if not isCompleted(response) then return false, describe(response) end
        end
        return true
    end)
end
