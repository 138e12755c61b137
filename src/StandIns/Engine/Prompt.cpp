#include "StandIns/Engine/Prompt.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>

namespace quetzalyoke::standins {

namespace {

constexpr std::uint32_t fnvOffset = 2166136261U;
constexpr std::uint32_t fnvPrime = 16777619U;
constexpr std::size_t bytesPerToken = 4;

std::string promptText(const nlohmann::json &body)
{
    if (body.contains("prompt") && body["prompt"].is_string())
        return body["prompt"];
    std::string text;
    if (!body.contains("messages") || !body["messages"].is_array())
        return text;
    for (const nlohmann::json &it : body["messages"]) {
        if (it.is_object() && it.contains("content") && it["content"].is_string())
            text += it["content"].get<std::string>();
    }
    return text;
}

} // namespace

std::uint32_t hash32(std::string_view text)
{
    std::uint32_t hash = fnvOffset;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnvPrime;
    }
    return hash;
}

Prompt::Prompt(std::string model, const nlohmann::json &body)
    : m_model(std::move(model)), m_text(promptText(body))
{ }

std::int64_t Prompt::tokens() const
{
    return static_cast<std::int64_t>(std::max<std::size_t>(1, m_text.size() / bytesPerToken));
}

std::vector<std::uint64_t> Prompt::blockHashes() const
{
    constexpr std::size_t blockBytes = tokensPerBlock * bytesPerToken;
    std::vector<std::uint64_t> hashes;
    std::string chain = m_model;
    for (std::size_t at = 0; at + blockBytes <= m_text.size(); at += blockBytes) {
        chain += m_text.substr(at, blockBytes);
        const std::uint64_t hash = std::hash<std::string>()(chain);
        hashes.push_back(hash);
        chain = std::to_string(hash);
    }
    return hashes;
}

std::string Prompt::outputToken(std::int64_t i) const
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%08x-%lld ", hash32(m_model + "\n" + m_text),
                  static_cast<long long>(i));
    return buf.data();
}

} // namespace quetzalyoke::standins
