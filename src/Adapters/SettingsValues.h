#ifndef QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H
#define QUETZALYOKE_ADAPTERS_SETTINGSVALUES_H

#include "Adapters/Address.h"
#include "Core/EntryReader.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// IP:PORT under \a name; a wrong one is a problem.
Address readAddress(EntryReader &reader, const std::string &name,
                    const std::optional<std::string> &fallback = {});
/// Comma-separated IP:PORT values under \a name.
std::vector<std::string> readAddresses(EntryReader &reader, const std::string &name);
/// Text of the file that \a name points to; a missing, open or empty file is a problem.
std::string readSecretFile(EntryReader &reader, const std::string &name);

} // namespace quetzalyoke

#endif
