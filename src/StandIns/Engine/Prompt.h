#ifndef QUETZALYOKE_STANDINS_ENGINE_PROMPT_H
#define QUETZALYOKE_STANDINS_ENGINE_PROMPT_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalyoke::standins {

/// Returns the 32-bit FNV-1a hash of \a text, which tests in other languages can compute as well.
std::uint32_t hash32(std::string_view text);

/// \brief The prompt of a request, and the output tokens that the stand-in generates for it.
class Prompt
{
public:
    /// Reads `prompt`, or else the contents of all `messages`, from a request's \a body.
    Prompt(std::string model, const nlohmann::json &body);

    const std::string &model() const { return m_model; }
    std::int64_t tokens() const;
    /// Returns chained hashes of the prompt's full blocks: equal hashes mean equal prefixes.
    std::vector<std::uint64_t> blockHashes() const;
    /// Returns output token \a i: hash32(model, newline, prompt) in 8 hex digits, `-`, \a i, space.
    std::string outputToken(std::int64_t i) const;

    static constexpr std::int64_t tokensPerBlock = 16;

private:
    std::string m_model;
    std::string m_text;
};

} // namespace quetzalyoke::standins

#endif
