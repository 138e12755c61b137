#include "Core/ServiceList.h"

#include "Core/EntryReader.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::int64_t maximumMegabytes = 100'000'000;
constexpr std::int64_t maximumTokens = 1'000'000'000'000;

CallPattern parseCall(const std::string &text)
{
    const auto space = text.find(' ');
    if (space == std::string::npos)
        return {"*", text};
    return {text.substr(0, space), text.substr(text.find_first_not_of(' ', space))};
}

} // namespace

bool CallPattern::matches(const std::string &callMethod, const std::string &callPath) const
{
    if (method != "*" && method != callMethod)
        return false;
    if (path.empty() || path.back() != '*')
        return path == callPath;
    return callPath.compare(0, path.size() - 1, path, 0, path.size() - 1) == 0;
}

ServiceList ServiceList::parse(const std::string &text, const std::string &file, Problems &problems)
{
    ServiceList list;
    const IniDocument document = IniDocument::parse(text, file, problems);
    for (const IniSection &section : document.sections()) {
        EntryReader reader(file, section, problems);
        if (section.kind == "model") {
            ModelEntry entry;
            entry.name = ModelName(section.name);
            entry.version = reader.text("version");
            entry.memory = Megabytes(reader.number("memory_mb", 1, maximumMegabytes));
            entry.dependencies = reader.list("depends_on");
            entry.line = section.line;
            list.models[entry.name] = entry;
        } else if (section.kind == "adapter") {
            AdapterEntry entry;
            entry.name = AdapterName(section.name);
            entry.base = ModelName(reader.text("base"));
            entry.version = reader.text("version");
            entry.memory = Megabytes(reader.number("memory_mb", 1, maximumMegabytes));
            entry.line = section.line;
            list.adapters[entry.name] = entry;
        } else if (section.kind == "service") {
            ServiceEntry entry;
            entry.name = ServiceName(section.name);
            for (const std::string &it : reader.list("non_idempotent"))
                entry.nonIdempotent.push_back(parseCall(it));
            entry.dependencies = reader.list("depends_on");
            entry.line = section.line;
            list.services[entry.name] = entry;
        } else if (section.kind == "account") {
            AccountEntry entry;
            entry.name = AccountId(section.name);
            entry.rate = TokensPerSecond(reader.number("rate_tokens_per_s", 1, maximumTokens));
            entry.burst = Tokens(reader.number("burst_tokens", 1, maximumTokens));
            entry.line = section.line;
            list.accounts[entry.name] = entry;
        } else if (section.kind == "server") {
            ServerEntry entry;
            entry.name = ServerName(section.name);
            const bool engine = reader.choice("kind", {"engine", "service"}) == "engine";
            entry.kind = engine ? ServerKind::Engine : ServerKind::Service;
            entry.zone = ZoneName(reader.text("zone"));
            if (engine) {
                entry.memory = Megabytes(reader.number("memory_mb", 1, maximumMegabytes));
                entry.checksFencing = reader.choice("fencing", {"checked", "ignored"}) == "checked";
            } else {
                entry.service = ServiceName(reader.text("service"));
            }
            entry.line = section.line;
            list.servers[entry.name] = entry;
        } else if (section.kind == "open") {
            OpenRoute route;
            route.call = parseCall(section.name);
            route.line = section.line;
            list.openRoutes.push_back(route);
        } else {
            problems.push_back({file, section.line, "unknown section [" + section.kind + "]",
                                "use model, adapter, service, account, server or open"});
            continue;
        }
        reader.finish();
    }
    return list;
}

bool ServiceList::isOpen(const std::string &method, const std::string &path) const
{
    return std::any_of(openRoutes.begin(), openRoutes.end(),
                       [&](const OpenRoute &it) { return it.call.matches(method, path); });
}

} // namespace quetzalyoke
