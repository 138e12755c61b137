#ifndef QUETZALYOKE_ADAPTERS_READYFILE_H
#define QUETZALYOKE_ADAPTERS_READYFILE_H

#include <map>
#include <string>

namespace quetzalyoke {

/// Writes `name=host:port` lines to \a path atomically, so that a reader never sees a partial file.
/// Does nothing if \a path is empty. Throws Error (BadSettings).
void writeReadyFile(const std::string &path, const std::map<std::string, std::string> &addresses);

} // namespace quetzalyoke

#endif
