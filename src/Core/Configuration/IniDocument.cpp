#include "Core/Configuration/IniDocument.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <sstream>

namespace quetzalyoke {

namespace {

// State shared between the line reader and the entry handler of one ini_parse_stream() call.
struct ParseState
{
    std::istringstream stream;
    std::string file;
    int line = 0;
    std::vector<IniSection> *sections = nullptr;
    Problems *problems = nullptr;
};

// inih truncates lines that are longer than its buffer and reports only the first invalid line, so
// invalid lines are reported here with their numbers and passed to inih as empty lines. Headings
// are also parsed here, because inih passes a section name to its handler only with an entry, which
// would lose empty sections.
std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return {};
    const auto last = text.find_last_not_of(" \t\r");
    return text.substr(first, last - first + 1);
}

void addProblem(ParseState &state, const std::string &what, const std::string &remedy)
{
    state.problems->push_back({state.file, state.line, what, remedy});
}

void addSection(ParseState &state, const std::string &heading)
{
    IniSection section;
    const auto space = heading.find(' ');
    section.kind = heading.substr(0, space);
    if (space != std::string::npos)
        section.name = trimmed(heading.substr(space));
    section.line = state.line;
    state.sections->push_back(section);
}

bool isComment(const std::string &line)
{
    return line.empty() || line.front() == ';' || line.front() == '#';
}

bool hasControlCharacter(const std::string &line)
{
    return std::any_of(line.begin(), line.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < ' ' && c != '\t') || byte == 127;
    });
}

// Parses a heading, which is not passed to inih.
void parseHeading(ParseState &state, const std::string &line)
{
    const auto end = line.find(']');
    if (end == std::string::npos) {
        addProblem(state, "heading has no ]", "write it as [kind name]");
        return;
    }
    if (!isComment(trimmed(line.substr(end + 1))))
        addProblem(state, "text after the heading", "put it on a line of its own");
    addSection(state, trimmed(line.substr(1, end - 1)));
}

// Returns whether the line is an entry for inih. Reports what inih would truncate, skip or report
// only once.
bool isEntry(ParseState &state, const std::string &line)
{
    if (static_cast<int>(line.size()) > IniDocument::maximumLineLength) {
        addProblem(state,
                   "line is longer than " + std::to_string(IniDocument::maximumLineLength)
                       + " characters",
                   "split the value over several lines of the same name");
        return false;
    }
    if (hasControlCharacter(line)) {
        addProblem(state, "line has a control character", "remove it");
        return false;
    }
    if (isComment(line))
        return false;
    if (line.front() == '[') {
        parseHeading(state, line);
        return false;
    }
    if (line.find_first_of("=:") == std::string::npos) {
        addProblem(state, "line is neither [section] nor name = value",
                   "write it as name = value, or start it with ; for a comment");
        return false;
    }
    return true;
}

char *readLine(char *buf, int size, void *context)
{
    auto &state = *static_cast<ParseState *>(context);
    std::string line;
    if (!std::getline(state.stream, line))
        return nullptr;
    ++state.line;
    line = trimmed(line);
    if (!isEntry(state, line))
        line.clear();
    line += '\n';
    std::strncpy(buf, line.c_str(), static_cast<std::size_t>(size) - 1);
    buf[size - 1] = '\0';
    return buf;
}

int onIniEntry(void *context, const char *, const char *name, const char *value)
{
    auto &state = *static_cast<ParseState *>(context);
    if (state.sections->empty()) {
        state.problems->push_back({state.file, state.line, "entry before the first section",
                                   "put it below a [section] line"});
        return 1;
    }
    state.sections->back().entries.push_back({name, value ? value : "", state.line});
    return 1;
}

} // namespace

IniDocument IniDocument::parse(const std::string &text, const std::string &file, Problems &problems)
{
    IniDocument document;
    document.m_file = file;
    ParseState state;
    state.stream.str(text);
    state.file = file;
    state.sections = &document.m_sections;
    state.problems = &problems;
    const int badLine = ini_parse_stream(readLine, &state, onIniEntry, &state);
    if (badLine > 0) {
        problems.push_back({file, badLine, "line is neither [section] nor name = value",
                            "write it as name = value, or start it with ; for a comment"});
    }
    return document;
}

} // namespace quetzalyoke
