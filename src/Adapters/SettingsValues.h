#ifndef QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H
#define QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H

#include "Adapters/Address.h"
#include "Core/Configuration/EntryReader.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// Reads the one section [\a kind] that a program's settings have; another one, a second one and
/// none are problems.
void readOnlySection(const IniDocument &document, const std::string &kind, Problems &problems,
                     const std::function<void(EntryReader &)> &read);
/// A name under \a name: letters, digits, dot, underscore and hyphen.
std::string readName(EntryReader &reader, const std::string &name);
/// IP:PORT under \a name; a wrong one is a problem.
Address readAddress(EntryReader &reader, const std::string &name,
                    const std::optional<std::string> &fallback = {});
/// Comma-separated IP:PORT values under \a name.
std::vector<std::string> readAddresses(EntryReader &reader, const std::string &name);
/// Text of the file that \a name points to; a missing, open or empty file is a problem.
std::string readSecretFile(EntryReader &reader, const std::string &name);

} // namespace quetzalyoke

#endif
