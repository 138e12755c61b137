#ifndef QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H
#define QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H

#include "Adapters/Address.h"
#include "Core/Configuration/IniSectionReader.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// Reads the one section [\a kind] that a program's settings have; another one, a second one and
/// none are problems.
void readSingleSection(const IniDocument &document, const std::string &kind, Problems &problems,
                       const std::function<void(IniSectionReader &)> &read);
/// A name under \a name: letters, digits, dot, underscore and hyphen.
std::string readName(IniSectionReader &reader, const std::string &name);
/// IP:PORT under \a name; a wrong one is a problem.
Address readAddress(IniSectionReader &reader, const std::string &name,
                    const std::optional<std::string> &fallback = {});
/// Comma-separated IP:PORT values under \a name.
std::vector<std::string> readAddresses(IniSectionReader &reader, const std::string &name);
/// Text of the file that \a name points to; a missing, open or empty file is a problem.
std::string readSecretFile(IniSectionReader &reader, const std::string &name);

} // namespace quetzalyoke

#endif
