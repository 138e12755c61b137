#include "Adapters/Crypto.h"

#include "Core/Error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace quetzalyoke {

namespace {

std::string toHex(const unsigned char *data, std::size_t n)
{
    static const char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * n);
    for (std::size_t i = 0; i < n; ++i) {
        text += digits[data[i] >> 4];
        text += digits[data[i] & 15];
    }
    return text;
}

const unsigned char *bytesOf(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string sha256Hex(const std::string &data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return toHex(digest.data(), n);
}

std::string hmacSha256(const std::string &secret, const std::string &data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytesOf(data), data.size(),
         digest.data(), &n);
    return {reinterpret_cast<const char *>(digest.data()), n};
}

bool equalInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomHex(int bytes)
{
    std::vector<unsigned char> buf(static_cast<std::size_t>(bytes));
    if (RAND_bytes(buf.data(), bytes) != 1)
        throw Error(ErrorKind::MalformedData,
                    "the operating system returned no random bytes; check its entropy source");
    return toHex(buf.data(), buf.size());
}

} // namespace quetzalyoke
