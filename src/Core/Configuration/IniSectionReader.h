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

/// \brief Reads the entries of one INI section as typed values and collects every mistake.
///
/// Each getter marks its name as known; finish() reports the names that nobody asked for.
/// \sa IniDocument
class IniSectionReader
{
public:
    IniSectionReader(std::string file, const IniSection &section, Problems &problems);

    /// Value of \a name; missing without a \a fallback is a problem.
    std::string text(const std::string &name, const std::optional<std::string> &fallback = {});
    /// Whole number within [\a least, \a most].
    std::int64_t number(const std::string &name, std::int64_t least, std::int64_t most,
                        const std::optional<std::int64_t> &fallback = {});
    /// Milliseconds within [\a least, \a most].
    std::chrono::milliseconds milliseconds(const std::string &name, std::int64_t least,
                                           std::int64_t most,
                                           const std::optional<std::int64_t> &fallback = {});
    /// `yes` or `no`.
    bool flag(const std::string &name, bool fallback);
    /// One of \a choices.
    std::string choice(const std::string &name, const std::vector<std::string> &choices,
                       const std::optional<std::string> &fallback = {});
    /// Comma-separated values of all lines named \a name.
    std::vector<std::string> list(const std::string &name);
    /// Line of \a name, or of the section's heading where it is missing.
    int lineOf(const std::string &name) const;
    /// Adds a problem at \a name.
    void addProblem(const std::string &name, const std::string &what, const std::string &remedy);
    /// Reports unknown and repeated names. Call it last.
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
