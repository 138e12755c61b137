#ifndef QUETZALYOKE_CORE_CONFIGURATION_VERSIONLINE_H
#define QUETZALYOKE_CORE_CONFIGURATION_VERSIONLINE_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief The first line `; version N` of a service list as shown to an operator.
///
/// It states the version on which an edited text is based, so that the text can't replace a newer
/// version unnoticed.
class VersionLine
{
public:
    /// Returns \a text with a version line in front.
    static std::string add(const std::string &text, Version version);
    /// Returns the version in the first line of \a text, or nothing if that is no version line.
    static std::optional<Version> read(const std::string &text);
    /// Returns \a text without its version line.
    static std::string remove(const std::string &text);
};

} // namespace quetzalyoke

#endif
