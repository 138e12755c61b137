#include "Core/Configuration/ServiceListDiff.h"

#include <map>
#include <set>

namespace quetzalyoke {

namespace {

using Settings = std::map<std::string, std::string>;
using Entries = std::map<std::string, Settings>;

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &it : words)
        text += (text.empty() ? "" : ", ") + it;
    return text;
}

std::string text(const RoutePattern &pattern)
{
    return pattern.method + " " + pattern.path;
}

std::string text(const std::vector<RoutePattern> &patterns)
{
    std::vector<std::string> words;
    for (const RoutePattern &it : patterns)
        words.push_back(text(it));
    return joined(words);
}

template<typename Number>
std::string text(Number number)
{
    return std::to_string(number.count());
}

Settings settingsOf(const ServerEntry &entry)
{
    if (entry.kind == ServerKind::Service)
        return {
            {"kind", "service"}, {"zone", entry.zone.text()}, {"service", entry.service.text()}};
    return {{"kind", "engine"},
            {"zone", entry.zone.text()},
            {"memory_mb", text(entry.memory)},
            {"fencing", entry.checksFencing ? "checked" : "ignored"}};
}

Entries entriesOf(const ServiceList &list)
{
    Entries entries;
    for (const auto &[name, it] : list.models) {
        entries["model " + name.text()] = {{"version", it.version},
                                           {"memory_mb", text(it.memory)},
                                           {"depends_on", joined(it.dependencies)}};
    }
    for (const auto &[name, it] : list.adapters) {
        entries["adapter " + name.text()]
            = {{"base", it.base.text()}, {"version", it.version}, {"memory_mb", text(it.memory)}};
    }
    for (const auto &[name, it] : list.services) {
        entries["service " + name.text()] = {{"non_idempotent", text(it.nonIdempotentRoutes)},
                                             {"depends_on", joined(it.dependencies)}};
    }
    for (const auto &[name, it] : list.accounts) {
        entries["account " + name.text()]
            = {{"rate_tokens_per_s", text(it.rate)}, {"burst_tokens", text(it.burst)}};
    }
    for (const auto &[name, it] : list.servers)
        entries["server " + name.text()] = settingsOf(it);
    for (const OpenRoute &it : list.openRoutes)
        entries["open " + text(it.pattern)] = {};
    return entries;
}

std::vector<SettingChange> diffSettings(const Settings &before, const Settings &after)
{
    std::set<std::string> names;
    for (const auto &[name, value] : before)
        names.insert(name);
    for (const auto &[name, value] : after)
        names.insert(name);
    const auto valueIn = [](const Settings &settings, const std::string &name) {
        const auto it = settings.find(name);
        return it == settings.end() ? std::string() : it->second;
    };
    std::vector<SettingChange> changes;
    for (const std::string &it : names) {
        const SettingChange change{it, valueIn(before, it), valueIn(after, it)};
        if (change.before != change.after)
            changes.push_back(change);
    }
    return changes;
}

std::string valueOrNothing(const std::string &value)
{
    return value.empty() ? "(nothing)" : value;
}

} // namespace

std::vector<EntryChange> diffServiceLists(const ServiceList &before, const ServiceList &after)
{
    const Entries beforeEntries = entriesOf(before);
    const Entries afterEntries = entriesOf(after);
    std::vector<EntryChange> changes;
    for (const auto &[entry, settings] : beforeEntries) {
        if (!afterEntries.contains(entry))
            changes.push_back({EntryChangeKind::Removed, entry, {}});
    }
    for (const auto &[entry, settings] : afterEntries) {
        const auto it = beforeEntries.find(entry);
        if (it == beforeEntries.end()) {
            changes.push_back({EntryChangeKind::Added, entry, {}});
            continue;
        }
        const auto changed = diffSettings(it->second, settings);
        if (!changed.empty())
            changes.push_back({EntryChangeKind::Changed, entry, changed});
    }
    return changes;
}

std::string formatChanges(const std::vector<EntryChange> &changes)
{
    std::string lines;
    for (const EntryChange &change : changes) {
        const bool added = change.kind == EntryChangeKind::Added;
        const bool removed = change.kind == EntryChangeKind::Removed;
        lines += (added ? "+ " : removed ? "- " : "~ ") + change.entry + "\n";
        for (const SettingChange &it : change.settings)
            lines += "    " + it.name + ": " + valueOrNothing(it.before) + " -> "
                + valueOrNothing(it.after) + "\n";
    }
    return lines;
}

} // namespace quetzalyoke
