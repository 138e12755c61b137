#ifndef QUETZALYOKE_ADAPTERS_READYFILE_H
#define QUETZALYOKE_ADAPTERS_READYFILE_H

#include <map>
#include <string>

namespace quetzalyoke {

/// Writes `name=host:port` lines to \a path in one step, so that a reader that sees the file
/// sees all of it. Does nothing for an empty path.
void writeReadyFile(const std::string &path, const std::map<std::string, std::string> &addresses);

} // namespace quetzalyoke

#endif
