#ifndef QUETZALYOKE_CORE_CONFIGURATION_INISECTIONREADER_H
#define QUETZALYOKE_CORE_CONFIGURATION_INISECTIONREADER_H

#include "Core/Configuration/IniDocument.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Reads the entries of one INI section as typed values and reports every error.
///
/// An error is added to the problems, and the getter returns an empty value, the minimum or the
/// first choice.
///
/// Each getter marks its name as known; reportUnexpectedEntries() reports all other names.
/// \sa IniDocument
class IniSectionReader
{
public:
    IniSectionReader(std::string file, const IniSection &section, Problems &problems);

    /// Returns the value of \a name. If it is missing or empty, returns \a fallback; without a
    /// fallback this is a problem.
    std::string text(const std::string &name, const std::optional<std::string> &fallback = {});
    /// Returns the value of \a name, an integer within [\a min, \a max].
    std::int64_t number(const std::string &name, std::int64_t min, std::int64_t max,
                        const std::optional<std::int64_t> &fallback = {});
    /// Returns the value of \a name in milliseconds, within [\a min, \a max].
    std::chrono::milliseconds milliseconds(const std::string &name, std::int64_t min,
                                           std::int64_t max,
                                           const std::optional<std::int64_t> &fallback = {});
    /// Returns whether the value of \a name is `yes`; the other valid value is `no`.
    bool flag(const std::string &name, bool fallback);
    /// Returns the value of \a name, which must be one of \a choices.
    std::string choice(const std::string &name, const std::vector<std::string> &choices,
                       const std::optional<std::string> &fallback = {});
    /// Returns the comma-separated values of all lines named \a name.
    std::vector<std::string> list(const std::string &name);
    /// Returns the line number of \a name, or of the section's heading if \a name is missing.
    int lineOf(const std::string &name) const;
    /// Adds a problem at the line of \a name.
    void addProblem(const std::string &name, const std::string &what, const std::string &remedy);
    /// Reports unknown and duplicate names. Call this after all getters.
    void reportUnexpectedEntries();

private:
    const IniEntry *find(const std::string &name) const;

    std::string m_file;
    const IniSection &m_section;
    Problems &m_problems;
    std::set<std::string> m_requestedNames;
    std::set<std::string> m_listNames;
};

} // namespace quetzalyoke

#endif
