#ifndef QUETZALYOKE_ADAPTERS_CRYPTO_H
#define QUETZALYOKE_ADAPTERS_CRYPTO_H

#include <string>

namespace quetzalyoke {

/// Returns the SHA-256 of \a data as lower-case hexadecimal text.
std::string sha256Hex(const std::string &data);
/// Returns the raw bytes of the HMAC-SHA256 of \a data.
std::string hmacSha256(const std::string &secret, const std::string &data);
/// Compares \a a and \a b in a time that does not depend on where they differ.
bool equalInConstantTime(const std::string &a, const std::string &b);
/// Returns \a bytes random bytes of a cryptographic generator as hexadecimal text. Throws Error
/// (MalformedData) if there are none.
std::string randomHex(int bytes);

} // namespace quetzalyoke

#endif
