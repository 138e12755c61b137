#include "Adapters/Address.h"

#include "Core/Error.h"

#include <charconv>

namespace quetzalyoke {

Address Address::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    int port = -1;
    const char *end = text.data() + text.size();
    bool isWhole = false;
    if (colon != std::string::npos && colon > 0) {
        const auto result = std::from_chars(text.data() + colon + 1, end, port);
        isWhole = result.ec == std::errc() && result.ptr == end;
    }
    if (!isWhole || port < 0 || port > 65535)
        throw Error(ErrorKind::BadSettings, "\"" + text + "\" is no address; write IP:PORT");
    return {text.substr(0, colon), port};
}

} // namespace quetzalyoke
