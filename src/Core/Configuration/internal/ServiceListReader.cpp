#include "Core/Configuration/internal/ServiceListReader.h"

#include "Core/Name.h"

#include <algorithm>
#include <array>

namespace quetzalyoke::internal {

namespace {

constexpr std::int64_t maxMegabytes = 100'000'000;
constexpr std::int64_t maxTokens = 1'000'000'000'000;
constexpr const char *anyMethod = "*";
constexpr std::array methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

bool isMethod(const std::string &text)
{
    return text == anyMethod || std::find(methods.begin(), methods.end(), text) != methods.end();
}

} // namespace

ServiceListReader::ServiceListReader(std::string file, Problems &problems)
    : m_file(std::move(file)), m_problems(problems)
{ }

ServiceList ServiceListReader::read(const IniDocument &document)
{
    for (const IniSection &it : document.sections())
        readSection(it);
    return std::move(m_list);
}

void ServiceListReader::readSection(const IniSection &section)
{
    IniSectionReader reader(m_file, section, m_problems);
    if (section.kind == "model")
        readModel(section, reader);
    else if (section.kind == "adapter")
        readAdapter(section, reader);
    else if (section.kind == "service")
        readService(section, reader);
    else if (section.kind == "account")
        readAccount(section, reader);
    else if (section.kind == "server")
        return readServer(section, reader);
    else if (section.kind == "open")
        readOpenRoute(section);
    else
        return addProblem(section.line, "unknown section [" + section.kind + "]",
                          "use model, adapter, service, account, server or open");
    reader.reportUnexpectedEntries();
}

void ServiceListReader::readModel(const IniSection &section, IniSectionReader &reader)
{
    ModelEntry entry;
    entry.name = ModelName(section.name);
    entry.version = readName(reader, "version");
    entry.memory = Megabytes(reader.number("memory_mb", 1, maxMegabytes));
    entry.dependencies = readNames(reader, "depends_on");
    entry.line = section.line;
    entry.dependenciesLine = reader.lineOf("depends_on");
    addEntry(m_list.models, entry, section);
}

void ServiceListReader::readAdapter(const IniSection &section, IniSectionReader &reader)
{
    AdapterEntry entry;
    entry.name = AdapterName(section.name);
    entry.base = ModelName(reader.text("base"));
    entry.version = readName(reader, "version");
    entry.memory = Megabytes(reader.number("memory_mb", 1, maxMegabytes));
    entry.line = section.line;
    entry.baseLine = reader.lineOf("base");
    addEntry(m_list.adapters, entry, section);
}

void ServiceListReader::readService(const IniSection &section, IniSectionReader &reader)
{
    ServiceEntry entry;
    entry.name = ServiceName(section.name);
    for (const std::string &it : reader.list("non_idempotent"))
        entry.nonIdempotentRoutes.push_back(readRoutePattern(it, reader.lineOf("non_idempotent")));
    entry.dependencies = readNames(reader, "depends_on");
    entry.line = section.line;
    entry.dependenciesLine = reader.lineOf("depends_on");
    addEntry(m_list.services, entry, section);
}

void ServiceListReader::readAccount(const IniSection &section, IniSectionReader &reader)
{
    AccountEntry entry;
    entry.name = AccountId(section.name);
    entry.rate = TokensPerSecond(reader.number("rate_tokens_per_s", 1, maxTokens));
    entry.burst = Tokens(reader.number("burst_tokens", 1, maxTokens));
    entry.line = section.line;
    addEntry(m_list.accounts, entry, section);
}

void ServiceListReader::readServer(const IniSection &section, IniSectionReader &reader)
{
    ServerEntry entry;
    entry.name = ServerName(section.name);
    entry.line = section.line;
    const std::size_t problemsBefore = m_problems.size();
    const std::string kind = reader.choice("kind", {"engine", "service"});
    // The valid settings depend on the kind, so they can't be checked without it.
    if (m_problems.size() > problemsBefore)
        return;
    entry.kind = kind == "engine" ? ServerKind::Engine : ServerKind::Service;
    entry.zone = ZoneName(readName(reader, "zone"));
    if (entry.kind == ServerKind::Engine) {
        entry.memory = Megabytes(reader.number("memory_mb", 1, maxMegabytes));
        entry.checksFencing = reader.choice("fencing", {"checked", "ignored"}) == "checked";
    } else {
        entry.service = ServiceName(reader.text("service"));
        entry.serviceLine = reader.lineOf("service");
    }
    reader.reportUnexpectedEntries();
    addEntry(m_list.servers, entry, section);
}

void ServiceListReader::readOpenRoute(const IniSection &section)
{
    OpenRoute route;
    route.pattern = readRoutePattern(section.name, section.line);
    route.line = section.line;
    m_list.openRoutes.push_back(route);
}

std::string ServiceListReader::readName(IniSectionReader &reader, const std::string &name)
{
    const std::string text = reader.text(name);
    if (!text.empty())
        checkName(text, reader.lineOf(name));
    return text;
}

std::vector<std::string> ServiceListReader::readNames(IniSectionReader &reader,
                                                      const std::string &name)
{
    std::vector<std::string> names = reader.list(name);
    for (const std::string &it : names)
        checkName(it, reader.lineOf(name));
    return names;
}

RoutePattern ServiceListReader::readRoutePattern(const std::string &text, int line)
{
    RoutePattern pattern{anyMethod, text};
    const auto space = text.find_first_of(" \t");
    if (space != std::string::npos) {
        pattern.method = text.substr(0, space);
        pattern.path = text.substr(text.find_first_not_of(" \t", space));
    }
    if (!isMethod(pattern.method)) {
        addProblem(line, "\"" + pattern.method + "\" is no HTTP method",
                   "use GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or *");
    }
    if (!pattern.path.starts_with("/")) {
        addProblem(line, "the path \"" + pattern.path + "\" does not start with /",
                   "write the route as METHOD /path");
    }
    if (pattern.path.find_first_of(" \t?#") != std::string::npos) {
        addProblem(line, "the path \"" + pattern.path + "\" has a space, ? or #",
                   "give only the path, without a query");
    }
    const auto star = pattern.path.find('*');
    if (star != std::string::npos && star + 1 != pattern.path.size()) {
        addProblem(line, "the path \"" + pattern.path + "\" has a * before its end",
                   "use * only as the last character");
    }
    return pattern;
}

template<typename Entries, typename Entry>
void ServiceListReader::addEntry(Entries &entries, const Entry &entry, const IniSection &section)
{
    if (!checkName(section.name, section.line))
        return;
    const auto [it, added] = entries.emplace(entry.name, entry);
    if (added)
        return;
    addProblem(section.line,
               "[" + section.kind + " " + section.name + "] is already on line "
                   + std::to_string(it->second.line),
               "rename or remove one of them");
}

bool ServiceListReader::checkName(const std::string &text, int line)
{
    if (isValidName(text))
        return true;
    addProblem(line, text.empty() ? "the name is missing" : "\"" + text + "\" is no valid name",
               nameFormatHint());
    return false;
}

void ServiceListReader::addProblem(int line, const std::string &what, const std::string &remedy)
{
    m_problems.push_back({m_file, line, what, remedy});
}

} // namespace quetzalyoke::internal
