#ifndef QUETZALYOKE_CORE_CONFIGURATION_VERSIONLINE_H
#define QUETZALYOKE_CORE_CONFIGURATION_VERSIONLINE_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief The first line `; version N` of a service list as shown to an operator.
///
/// It says which version an edited text started from, so that it can't replace a newer one unseen.
class VersionLine
{
public:
    static std::string add(const std::string &text, Version version);
    /// Version in the first line of \a text, if that is a version line.
    static std::optional<Version> read(const std::string &text);
    /// \a text without its version line.
    static std::string remove(const std::string &text);
};

} // namespace quetzalyoke

#endif
