#ifndef QUETZALYOKE_ADAPTERS_CRYPTO_H
#define QUETZALYOKE_ADAPTERS_CRYPTO_H

#include <string>

namespace quetzalyoke {

/// Lower-case hexadecimal SHA-256 of \a data.
std::string sha256Hex(const std::string &data);
/// Raw HMAC-SHA256.
std::string hmacSha256(const std::string &secret, const std::string &data);
/// Compares without leaking the position of the first difference.
bool equalInConstantTime(const std::string &a, const std::string &b);
/// \a bytes random bytes from the operating system, as hexadecimal text.
std::string randomHex(int bytes);

} // namespace quetzalyoke

#endif
