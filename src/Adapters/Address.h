#ifndef QUETZALYOKE_ADAPTERS_ADDRESS_H
#define QUETZALYOKE_ADAPTERS_ADDRESS_H

#include <string>

namespace quetzalyoke {

/// \brief An IP address and a port.
struct Address
{
    std::string host;
    int port = 0;

    /// Splits "host:port". Throws Error (BadSettings).
    static Address parse(const std::string &text);
    /// Returns the address as "host:port".
    std::string text() const { return host + ":" + std::to_string(port); }
};

} // namespace quetzalyoke

#endif
