#ifndef QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H
#define QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H

#include "Adapters/Address.h"
#include "Core/Configuration/IniSectionReader.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// Calls \a read with the section [\a kind], the only one in a program's settings. A missing,
/// second or unknown section is a problem.
void readSingleSection(const IniDocument &document, const std::string &kind, Problems &problems,
                       const std::function<void(IniSectionReader &)> &read);
/// Reads the setting \a name as a name of letters, digits, dots, underscores and hyphens.
std::string readName(IniSectionReader &reader, const std::string &name);
/// Reads the setting \a name as IP:PORT; an invalid value is a problem.
Address readAddress(IniSectionReader &reader, const std::string &name,
                    const std::optional<std::string> &fallback = {});
/// Reads the setting \a name as comma-separated IP:PORT values.
std::vector<std::string> readAddresses(IniSectionReader &reader, const std::string &name);
/// Reads the secret in the file that the setting \a name points to. A missing file, one that other
/// users can access and a secret that is too short are problems.
std::string readSecretFile(IniSectionReader &reader, const std::string &name);

} // namespace quetzalyoke

#endif
