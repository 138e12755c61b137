#ifndef QUETZALYOKE_CORE_CONFIGURATION_PROBLEM_H
#define QUETZALYOKE_CORE_CONFIGURATION_PROBLEM_H

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief An error in an INI file: its position, a description and a remedy.
struct Problem
{
    std::string file;
    int line = 0; ///< Starts at 1; 0 if the problem has no line.
    std::string what;
    std::string remedy;

    std::string text() const;
};

using Problems = std::vector<Problem>;

/// Returns the texts of \a problems, one per line.
std::string formatProblems(const Problems &problems);

} // namespace quetzalyoke

#endif
