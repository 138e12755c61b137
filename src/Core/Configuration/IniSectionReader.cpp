#include "Core/Configuration/IniSectionReader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace quetzalyoke {

namespace {

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &it : words)
        text += (text.empty() ? "" : ", ") + it;
    return text;
}

} // namespace

IniSectionReader::IniSectionReader(std::string file, const IniSection &section, Problems &problems)
    : m_file(std::move(file)), m_section(section), m_problems(problems)
{ }

const IniEntry *IniSectionReader::find(const std::string &name) const
{
    const auto it = std::find_if(m_section.entries.begin(), m_section.entries.end(),
                                 [&name](const IniEntry &entry) { return entry.name == name; });
    return it == m_section.entries.end() ? nullptr : &*it;
}

std::string IniSectionReader::text(const std::string &name,
                                   const std::optional<std::string> &fallback)
{
    m_requestedNames.insert(name);
    const IniEntry *entry = find(name);
    if (entry && !entry->value.empty())
        return entry->value;
    if (!fallback) {
        addProblem(name, "[" + m_section.kind + "] has no " + name,
                   "add a line \"" + name + " = ...\"");
    }
    return fallback.value_or("");
}

std::int64_t IniSectionReader::number(const std::string &name, std::int64_t min, std::int64_t max,
                                      const std::optional<std::int64_t> &fallback)
{
    m_requestedNames.insert(name);
    const IniEntry *entry = find(name);
    if (!entry && fallback)
        return *fallback;
    const std::string value = entry ? entry->value : text(name);
    if (!entry)
        return min;
    std::int64_t n = 0;
    const char *end = value.data() + value.size();
    const auto [last, ec] = std::from_chars(value.data(), end, n);
    const bool isNumber = ec != std::errc::invalid_argument && last == end;
    if (!isNumber || ec != std::errc() || n < min || n > max) {
        addProblem(
            name, name + " = " + value + (isNumber ? " is out of range" : " is no whole number"),
            "give a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return n;
}

std::chrono::milliseconds
IniSectionReader::milliseconds(const std::string &name, std::int64_t min, std::int64_t max,
                               const std::optional<std::int64_t> &fallback)
{
    return std::chrono::milliseconds(number(name, min, max, fallback));
}

bool IniSectionReader::flag(const std::string &name, bool fallback)
{
    return choice(name, {"yes", "no"}, fallback ? "yes" : "no") == "yes";
}

std::string IniSectionReader::choice(const std::string &name,
                                     const std::vector<std::string> &choices,
                                     const std::optional<std::string> &fallback)
{
    const std::string value = text(name, fallback);
    if (std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    if (find(name))
        addProblem(name, name + " = " + value + " is not known", "give one of: " + joined(choices));
    return choices.front();
}

std::vector<std::string> IniSectionReader::list(const std::string &name)
{
    m_requestedNames.insert(name);
    m_listNames.insert(name);
    std::vector<std::string> values;
    for (const IniEntry &it : m_section.entries) {
        if (it.name != name)
            continue;
        std::istringstream stream(it.value);
        std::string word;
        while (std::getline(stream, word, ',')) {
            const auto first = word.find_first_not_of(" \t");
            if (first == std::string::npos)
                continue;
            values.push_back(word.substr(first, word.find_last_not_of(" \t") - first + 1));
        }
    }
    return values;
}

int IniSectionReader::lineOf(const std::string &name) const
{
    const IniEntry *entry = find(name);
    return entry ? entry->line : m_section.line;
}

void IniSectionReader::addProblem(const std::string &name, const std::string &what,
                                  const std::string &remedy)
{
    m_problems.push_back({m_file, lineOf(name), what, remedy});
}

void IniSectionReader::reportUnexpectedEntries()
{
    std::set<std::string> seen;
    for (const IniEntry &it : m_section.entries) {
        if (!m_requestedNames.contains(it.name)) {
            m_problems.push_back(
                {m_file, it.line, "[" + m_section.kind + "] has no setting named " + it.name,
                 "remove it, or correct it to one of: "
                     + joined({m_requestedNames.begin(), m_requestedNames.end()})});
            continue;
        }
        if (m_listNames.contains(it.name))
            continue;
        if (!seen.insert(it.name).second) {
            m_problems.push_back(
                {m_file, it.line, it.name + " is given twice", "keep one of the lines"});
        }
    }
}

} // namespace quetzalyoke
