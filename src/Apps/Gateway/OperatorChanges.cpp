#include "Apps/Gateway/OperatorChanges.h"

#include "Adapters/Crypto.h"
#include "Adapters/ProcessTimeline.h"
#include "Core/Configuration/ServiceListCheck.h"
#include "Core/Configuration/VersionLine.h"
#include "Core/Error.h"

#include <glog/logging.h>

#include <thread>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds retryInterval{200};
constexpr int maxWithdrawAttempts = 5;
constexpr int writeIdBytes = 8;
constexpr const char *operatorAuthor = "operator";

void requireValid(const std::string &text, const std::string &file)
{
    const CheckedServiceList checked = ServiceListCheck::parseAndCheck(text, file);
    if (!checked.problems.empty())
        throw Error(ErrorKind::BadSettings, formatProblems(checked.problems));
}

} // namespace

OperatorChanges::OperatorChanges(HttpPlatformClient &platform, GatewayState &state,
                                 StatePoller &statePoller, ChangeGate &changeGate)
    : m_platform(platform), m_state(state), m_statePoller(statePoller), m_changeGate(changeGate),
      m_commit(platform, [] { std::this_thread::sleep_for(retryInterval); })
{ }

Version OperatorChanges::applyConfiguration(const std::string &text, Version seenVersion,
                                            const std::string &file)
{
    requireValid(text, file);
    m_changeGate.requireMayAccept();
    const std::string body = VersionLine::remove(text);
    const ConfigurationRow pointer{"configuration-" + sha256Hex(body), operatorAuthor,
                                   randomHex(writeIdBytes)};
    // The object is named by the hash of its content, so a lost response or a retry does no harm.
    // The row that points to it is written only after the object is stored.
    m_platform.put(pointer.objectName, body);
    const auto version
        = m_commit.commit({StateCache::configurationRowKey, pointer.toJson(), seenVersion});
    if (!version)
        return resolveConflict(body, seenVersion);
    m_statePoller.refresh();
    m_changeGate.waitUntilInForce(*version);
    LOG(INFO) << "event=configuration_applied version=" << version->count();
    return *version;
}

// An operator may retry an apply whose response was lost; the same text is then already in force.
Version OperatorChanges::resolveConflict(const std::string &text, Version seenVersion)
{
    m_statePoller.refresh();
    const auto current = m_state.configuration();
    if (current && current->text == text) {
        m_changeGate.waitUntilInForce(current->version);
        return current->version;
    }
    const Version now = current ? current->version : Version();
    throw Error(ErrorKind::Conflict,
                "the service list changed: you saw version " + std::to_string(seenVersion.count())
                    + ", in force is version " + std::to_string(now.count())
                    + "; nothing was applied; look again (quetzalyokectl show) and apply your "
                      "change to that version");
}

GrantedKey OperatorChanges::grantKey(const AccountId &account)
{
    m_changeGate.requireMayAccept();
    m_statePoller.refresh();
    const auto configuration = m_state.configuration();
    if (!configuration || !configuration->serviceList.accounts.contains(account)) {
        throw Error(ErrorKind::BadSettings,
                    "no account named \"" + account.text()
                        + "\" is listed; apply a service list that contains it");
    }
    const GrantedKey key = makeKey(account);
    const auto version = m_commit.commit(
        {StateCache::apiKeyRowKey(key.record.id), key.record.toJson(), Version(0)});
    if (!version)
        throw Error(ErrorKind::Conflict,
                    "the key's id is already in use; no key was granted; retry");
    m_statePoller.refresh();
    m_changeGate.waitUntilInForce(*version);
    ProcessTimeline::record(TimelineEventKind::KeyGranted, {},
                            "id=" + key.record.id.text() + " account=" + account.text());
    LOG(INFO) << "event=key_granted id=" << key.record.id.text() << " account=" << account.text();
    return key;
}

void OperatorChanges::withdrawKey(const ApiKeyId &id)
{
    m_changeGate.requireMayAccept();
    for (int i = 0; i < maxWithdrawAttempts; ++i) {
        const auto version = tryWithdraw(id);
        if (!version)
            continue;
        m_statePoller.refresh();
        m_changeGate.waitUntilInForce(*version);
        ProcessTimeline::record(TimelineEventKind::KeyWithdrawn, {}, "id=" + id.text());
        LOG(INFO) << "event=key_withdrawn id=" << id.text();
        return;
    }
    throw Error(ErrorKind::Conflict,
                "key " + id.text() + " kept being changed by others; withdraw it again");
}

std::optional<Version> OperatorChanges::tryWithdraw(const ApiKeyId &id)
{
    const auto row = m_platform.read(StateCache::apiKeyRowKey(id));
    if (!row)
        throw Error(ErrorKind::NotFound, "no key " + id.text() + "; see quetzalyokectl key list");
    ApiKeyRow record = ApiKeyRow::fromJson(row->value);
    if (record.withdrawn)
        return row->version;
    record.withdrawn = true;
    return m_commit.commit({row->key, record.toJson(), row->version});
}

} // namespace quetzalyoke
