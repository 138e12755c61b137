#include "Apps/Gateway/Authenticator.h"

#include "Adapters/Crypto.h"

namespace quetzalyoke {

namespace {

constexpr const char *keyMark = "qy_";
constexpr std::size_t keyMarkLength = 3;
constexpr int idBytes = 6;
constexpr int secretBytes = 24;
constexpr std::chrono::milliseconds retryWhenStale{1000};

Refusal wrongKey()
{
    return {401,
            "invalid_key",
            "the key is missing, wrong or withdrawn; ask your operator for one",
            RunState::NotRun,
            {}};
}

} // namespace

GrantedKey makeKey(const AccountId &account)
{
    const std::string id = randomHex(idBytes);
    const std::string secret = randomHex(secretBytes);
    return {{KeyId(id), account, sha256Hex(secret), false}, keyMark + id + "_" + secret};
}

Authenticator::Authenticator(const SharedState &state) : m_state(state) { }

std::variant<AccountId, Refusal> Authenticator::authenticate(const std::string &keyText,
                                                             Instant now) const
{
    if (!m_state.isFresh(now)) {
        return Refusal{503, "state_not_fresh",
                       "this instance can't tell whether keys are still valid; ask again",
                       RunState::NotRun, retryWhenStale};
    }
    const auto split = keyText.rfind('_');
    if (!keyText.starts_with(keyMark) || split < keyMarkLength || split == std::string::npos)
        return wrongKey();
    const KeyId id(keyText.substr(keyMarkLength, split - keyMarkLength));
    const auto record = m_state.findKey(id);
    // An unknown id costs the same hash and comparison as a known one.
    const std::string expected = record ? record->hash : sha256Hex("");
    const bool matches = equalInConstantTime(sha256Hex(keyText.substr(split + 1)), expected);
    if (!record || !matches || record->withdrawn)
        return wrongKey();
    return record->account;
}

} // namespace quetzalyoke
