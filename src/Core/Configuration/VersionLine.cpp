#include "Core/Configuration/VersionLine.h"

#include <charconv>
#include <string_view>

namespace quetzalyoke {

namespace {

constexpr std::string_view prefix = "; version ";

std::string_view firstLine(const std::string &text)
{
    std::string_view line(text.data(), std::min(text.find('\n'), text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

} // namespace

std::string VersionLine::add(const std::string &text, Version version)
{
    return std::string(prefix) + std::to_string(version.count()) + "\n" + text;
}

std::optional<Version> VersionLine::read(const std::string &text)
{
    std::string_view line = firstLine(text);
    if (!line.starts_with(prefix))
        return std::nullopt;
    line.remove_prefix(prefix.size());
    std::int64_t n = 0;
    const char *end = line.data() + line.size();
    const auto [last, ec] = std::from_chars(line.data(), end, n);
    if (ec != std::errc() || last != end || n < 0)
        return std::nullopt;
    return Version(n);
}

std::string VersionLine::remove(const std::string &text)
{
    if (!read(text))
        return text;
    const auto lineEnd = text.find('\n');
    return lineEnd == std::string::npos ? std::string() : text.substr(lineEnd + 1);
}

} // namespace quetzalyoke
