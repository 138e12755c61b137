#include "Adapters/Base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace quetzalyoke {

namespace base64 = boost::beast::detail::base64;

std::string encodeBase64(const std::string &bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decodeBase64(const std::string &text)
{
    // decoded_size() counts whole groups of four characters; a text without padding has up to three
    // more, which the library decodes, too.
    std::string bytes(base64::decoded_size(text.size()) + 3, '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

} // namespace quetzalyoke
