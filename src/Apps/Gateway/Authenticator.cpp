#include "Apps/Gateway/Authenticator.h"

#include "Adapters/Crypto.h"
#include "Core/Accounts/ApiKeyText.h"

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds retryAfterWhenStale{1000};

Refusal invalidKey()
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
    const ApiKeyText key{ApiKeyId(randomHex(ApiKeyText::idBytes)),
                         randomHex(ApiKeyText::secretBytes)};
    return {{key.id, account, sha256Hex(key.secret), false}, key.text()};
}

Authenticator::Authenticator(const GatewayState &state) : m_state(state) { }

std::variant<AccountId, Refusal> Authenticator::authenticate(const std::string &keyText,
                                                             Instant now) const
{
    if (!m_state.isFresh(now)) {
        return Refusal{503, "state_not_fresh",
                       "this instance can't tell whether keys are still valid; retry",
                       RunState::NotRun, retryAfterWhenStale};
    }
    const auto key = ApiKeyText::parse(keyText);
    if (!key)
        return invalidKey();
    const auto record = m_state.findKey(key->id);
    // An unknown id takes the same hash and comparison as a known one, so that the response time
    // doesn't reveal which ids exist.
    const std::string expected = record ? record->hash : sha256Hex("");
    const bool matches = equalInConstantTime(sha256Hex(key->secret), expected);
    if (!record || !matches || record->withdrawn)
        return invalidKey();
    return record->account;
}

} // namespace quetzalyoke
