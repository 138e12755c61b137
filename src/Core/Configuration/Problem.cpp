#include "Core/Configuration/Problem.h"

namespace quetzalyoke {

std::string Problem::text() const
{
    const std::string location = line > 0 ? file + ":" + std::to_string(line) : file;
    return location + ": " + what + "; " + remedy;
}

std::string formatProblems(const Problems &problems)
{
    std::string text;
    for (const Problem &it : problems)
        text += it.text() + "\n";
    return text;
}

} // namespace quetzalyoke
