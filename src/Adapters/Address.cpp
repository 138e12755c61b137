#include "Adapters/Address.h"

#include "Core/Error.h"

#include <charconv>

namespace quetzalyoke {

Address Address::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    int port = -1;
    if (colon != std::string::npos)
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (port < 0 || port > 65535)
        throw Error(ErrorKind::BadSettings, "\"" + text + "\" is no address; write IP:PORT");
    return {text.substr(0, colon), port};
}

} // namespace quetzalyoke
