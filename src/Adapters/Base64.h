#ifndef QUETZALYOKE_ADAPTERS_BASE64_H
#define QUETZALYOKE_ADAPTERS_BASE64_H

#include <string>

namespace quetzalyoke {

std::string encodeBase64(const std::string &bytes);
/// Decodes \a text up to the first character that is not base64.
std::string decodeBase64(const std::string &text);

} // namespace quetzalyoke

#endif
