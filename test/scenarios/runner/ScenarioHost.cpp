#include "ScenarioHost.h"

#include "Core/Error.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>

namespace quetzalyoke::scenarios {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds startTimeout{15};
constexpr std::chrono::milliseconds readyPollInterval{5};
constexpr std::size_t shownLogLines = 40;

std::chrono::milliseconds millis(const Json &args, const char *name, std::int64_t fallback)
{
    return std::chrono::milliseconds(args.value(name, fallback));
}

int signalNumber(const std::string &name)
{
    static const std::map<std::string, int> numbers{
        {"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    return numbers.at(name);
}

LinkState linkState(const std::string &name)
{
    static const std::map<std::string, LinkState> states{{"open", LinkState::Open},
                                                         {"closed", LinkState::Closed},
                                                         {"silent", LinkState::Stalled},
                                                         {"deaf", LinkState::ResponsesStalled}};
    return states.at(name);
}

HttpRequest requestFrom(const Json &args)
{
    HttpRequest request;
    request.address = Address::parse(args.at("address"));
    request.method = args.value("method", "GET");
    request.path = args.at("path");
    request.body = args.value("body", "");
    request.timeout = millis(args, "timeout_ms", request.timeout.count());
    const Json headers = args.value("headers", Json::object());
    for (const auto &[name, value] : headers.items())
        request.headers.emplace(name, value.get<std::string>());
    return request;
}

std::string lowerCase(std::string text)
{
    for (char &it : text)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return text;
}

// Returns a time in the units of now_ms().
double toMillis(Clock::time_point time)
{
    return std::chrono::duration<double, std::milli>(time.time_since_epoch()).count();
}

Json responseToJson(const HttpResponse &response)
{
    Json arrivals = Json::array();
    for (const Arrival &it : response.arrivals)
        arrivals.push_back({{"at_ms", toMillis(it.time)}, {"bytes", it.bodyBytes}});
    Json headers = Json::object();
    for (const auto &[name, value] : response.headers)
        headers[lowerCase(name)] = value;
    return {{"finished", response.finished}, {"whole", response.complete},
            {"status", response.status},     {"headers", headers},
            {"body", response.body},         {"error", response.error},
            {"arrivals", arrivals},          {"took_ms", response.duration.count()}};
}

} // namespace

ScenarioHost::ScenarioHost(std::string programFolder) : m_programFolder(std::move(programFolder))
{
    std::string name = (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw Error(ErrorKind::BadSettings, name + " can't be created; check TMPDIR");
    m_folder = name;
}

ScenarioHost::~ScenarioHost()
{
    m_calls.clear();
    m_connections.clear();
    m_processes.clear();
    m_links.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void ScenarioHost::addHostFunctions(LuaScript &script)
{
    const auto add = [&](const char *name, Json (ScenarioHost::*method)(const Json &)) {
        script.addHostFunction(name,
                               [this, method](const Json &args) { return (this->*method)(args); });
    };
    add("write_file", &ScenarioHost::writeFile);
    add("start", &ScenarioHost::startProcess);
    add("signal", &ScenarioHost::signalProcess);
    add("wait_for_end", &ScenarioHost::waitForExit);
    add("add_link", &ScenarioHost::addLink);
    add("set_link", &ScenarioHost::setLink);
    add("send", &ScenarioHost::sendCall);
    add("answer", &ScenarioHost::callResponse);
    add("abandon", &ScenarioHost::abandonCall);
    script.addHostFunction("now_ms", [](const Json &) -> Json { return toMillis(Clock::now()); });
    script.addHostFunction("poll_pause", [](const Json &) -> Json {
        std::this_thread::sleep_for(readyPollInterval);
        return nullptr;
    });
    script.addHostFunction("json_text", [](const Json &args) -> Json { return args.dump(); });
    script.addHostFunction("json_value", [](const Json &args) -> Json {
        return Json::parse(args.get<std::string>(), nullptr, false);
    });
}

void ScenarioHost::printLogs() const
{
    for (const auto &it : std::filesystem::directory_iterator(m_folder)) {
        if (it.path().extension() != ".log")
            continue;
        std::ifstream file(it.path());
        std::deque<std::string> lines;
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
            if (lines.size() > shownLogLines)
                lines.pop_front();
        }
        std::cerr << "--- " << it.path().filename().string() << '\n';
        for (const std::string &line : lines)
            std::cerr << line << '\n';
    }
}

Json ScenarioHost::writeFile(const Json &args)
{
    const auto path = m_folder / args.at("name").get<std::string>();
    std::ofstream(path) << args.at("text").get<std::string>();
    return path.string();
}

Json ScenarioHost::startProcess(const Json &args)
{
    const std::string name = args.at("name");
    const auto ready = m_folder / (name + ".ready");
    const auto settings = m_folder / (name + ".ini");
    std::filesystem::remove(ready);
    std::ofstream(settings) << args.at("settings").get<std::string>()
                            << "ready_file = " << ready.string() << '\n';
    const std::string program = m_programFolder + "/" + args.at("program").get<std::string>();
    m_processes[name] = std::make_unique<ChildProcess>(program, settings.string(),
                                                       (m_folder / (name + ".log")).string());
    return waitForReady(name, ready);
}

Json ScenarioHost::waitForReady(const std::string &name, const std::filesystem::path &file)
{
    const auto end = Clock::now() + startTimeout;
    while (!std::filesystem::exists(file)) {
        if (process(name).waitForExit(readyPollInterval))
            throw Error(ErrorKind::BadSettings, name + " ended during startup; see its log");
        if (Clock::now() > end)
            throw Error(ErrorKind::BadSettings, name + " was not ready in time; see its log");
    }
    Json addresses = Json::object();
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) {
        const auto equals = line.find('=');
        addresses[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return addresses;
}

Json ScenarioHost::signalProcess(const Json &args)
{
    process(args.at("name")).sendSignal(signalNumber(args.at("signal")));
    return nullptr;
}

Json ScenarioHost::waitForExit(const Json &args)
{
    const auto ending = process(args.at("name")).waitForExit(millis(args, "limit_ms", 0));
    if (!ending)
        return {{"ended", false}};
    return {{"ended", true}, {"exit_status", ending->exitStatus}, {"signal", ending->signal}};
}

Json ScenarioHost::addLink(const Json &args)
{
    auto &link = m_links[args.at("name")];
    if (!link)
        link = std::make_unique<LinkRelay>();
    return link->address().text();
}

Json ScenarioHost::setLink(const Json &args)
{
    LinkRelay &link = *m_links.at(args.at("name"));
    if (args.contains("target"))
        link.setTarget(Address::parse(args["target"]));
    if (args.contains("state"))
        link.setState(linkState(args["state"]));
    return nullptr;
}

Json ScenarioHost::sendCall(const Json &args)
{
    const HttpRequest request = requestFrom(args);
    httplib::Client *client = nullptr;
    if (args.contains("connection")) {
        auto &connection = m_connections[args["connection"]];
        if (!connection)
            connection = makeClient(request.address);
        client = connection.get();
    }
    m_calls[++m_lastCall] = std::make_unique<HttpCall>(request, client);
    return m_lastCall;
}

Json ScenarioHost::callResponse(const Json &args)
{
    const auto it = m_calls.find(args.at("call"));
    if (it == m_calls.end())
        throw Error(ErrorKind::BadSettings, "the response of the call was already taken");
    if (!args.value("wait", false))
        return responseToJson(it->second->response());
    const Json response = responseToJson(it->second->waitForResponse());
    m_calls.erase(it);
    return response;
}

Json ScenarioHost::abandonCall(const Json &args)
{
    m_calls.at(args.at("call"))->abandon();
    return nullptr;
}

ChildProcess &ScenarioHost::process(const std::string &name)
{
    const auto it = m_processes.find(name);
    if (it == m_processes.end())
        throw Error(ErrorKind::BadSettings, "no process " + name + " has been started");
    return *it->second;
}

} // namespace quetzalyoke::scenarios
