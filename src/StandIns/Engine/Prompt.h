#ifndef QUETZALYOKE_STANDINS_ENGINE_PROMPT_H
#define QUETZALYOKE_STANDINS_ENGINE_PROMPT_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalyoke::standins {

/// 32-bit FNV-1a hash, easily repeated in a test's own language.
std::uint32_t hash32(std::string_view text);

/// \brief The prompt of a request, and the answer that belongs to it.
class Prompt
{
public:
    /// Reads `prompt`, or the contents of all `messages`, from a request's body.
    Prompt(std::string model, const nlohmann::json &body);

    const std::string &model() const { return m_model; }
    std::int64_t tokens() const;
    /// Chained hashes of the prompt's whole blocks: equal hashes mean equal prefixes.
    std::vector<std::uint64_t> blockHashes() const;
    /// Word \a i of the answer: hash32(model, newline, prompt) in 8 hex digits, `-`, \a i, space.
    std::string outputToken(std::int64_t i) const;

    static constexpr std::int64_t tokensPerBlock = 16;

private:
    std::string m_model;
    std::string m_text;
};

} // namespace quetzalyoke::standins

#endif
