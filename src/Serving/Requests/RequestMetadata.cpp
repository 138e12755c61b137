#include "Serving/Requests/RequestMetadata.h"

#include <array>
#include <charconv>

namespace quetzalyoke {

namespace {

constexpr std::string_view partPrefix = "part-";

} // namespace

std::string promptPartText(std::uint64_t id)
{
    constexpr int hexadecimal = 16;
    std::array<char, 16> buf{};
    const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), id, hexadecimal);
    return std::string(buf.data(), result.ptr);
}

Fingerprint promptPartFingerprint(std::uint64_t id)
{
    return Fingerprint(std::string(partPrefix) + promptPartText(id));
}

bool isPromptPart(const Fingerprint &fingerprint)
{
    return fingerprint.text().starts_with(partPrefix);
}

} // namespace quetzalyoke
