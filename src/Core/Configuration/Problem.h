#ifndef QUETZALYOKE_CORE_CONFIGURATION_PROBLEM_H
#define QUETZALYOKE_CORE_CONFIGURATION_PROBLEM_H

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief One mistake in an INI file: where it is, what is wrong and what to do.
struct Problem
{
    std::string file;
    int line = 0; ///< From 1; 0 where no line is to blame.
    std::string what;
    std::string remedy;

    std::string text() const;
};

using Problems = std::vector<Problem>;

/// One line for each problem.
std::string formatProblems(const Problems &problems);

} // namespace quetzalyoke

#endif
