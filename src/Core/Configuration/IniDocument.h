#ifndef QUETZALYOKE_CORE_CONFIGURATION_INIDOCUMENT_H
#define QUETZALYOKE_CORE_CONFIGURATION_INIDOCUMENT_H

#include "Core/Configuration/Problem.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief One `name = value` line.
struct IniEntry
{
    std::string name;
    std::string value;
    int line = 0;
};

/// \brief One `[kind name]` section with its entries in file order.
struct IniSection
{
    std::string kind; ///< First word of the heading.
    std::string name; ///< The rest of the heading; may be empty.
    int line = 0;
    std::vector<IniEntry> entries;
};

/// \brief The sections of an INI text, with line numbers.
///
/// A line has at most maximumLineLength characters. A longer list is split over several lines with
/// the same name.
class IniDocument
{
public:
    static constexpr int maximumLineLength = 198;

    /// Parses \a text. Syntax errors are added to \a problems, and the rest of the text is still
    /// parsed. \a file is the name used in the problems.
    static IniDocument parse(const std::string &text, const std::string &file, Problems &problems);

    const std::string &file() const { return m_file; }
    const std::vector<IniSection> &sections() const { return m_sections; }

private:
    std::string m_file;
    std::vector<IniSection> m_sections;
};

} // namespace quetzalyoke

#endif
