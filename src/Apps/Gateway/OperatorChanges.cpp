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

constexpr std::chrono::milliseconds pauseBetweenTries{200};
constexpr int withdrawTryLimit = 5;
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
                                 StatePoller &sync, ChangeGate &gate)
    : m_platform(platform), m_state(state), m_statePoller(sync), m_gate(gate),
      m_commit(platform, [] { std::this_thread::sleep_for(pauseBetweenTries); })
{ }

Version OperatorChanges::applyConfiguration(const std::string &text, Version seen,
                                            const std::string &file)
{
    requireValid(text, file);
    m_gate.requireMayAccept();
    const std::string body = VersionLine::remove(text);
    const ConfigurationRow pointer{"configuration-" + sha256Hex(body), operatorAuthor,
                                   randomHex(writeIdBytes)};
    // The object is named by its content, so a lost answer or a repeat does no harm; the row that
    // points to it is written only once the object is there.
    m_platform.put(pointer.objectName, body);
    const auto version = m_commit.commit({StateCache::configurationRowKey, pointer.toJson(), seen});
    if (!version)
        return resolveConflict(body, seen);
    m_statePoller.refresh();
    m_gate.waitUntilInForce(*version);
    LOG(INFO) << "event=configuration_applied version=" << version->count();
    return *version;
}

// An operator who repeats an apply whose answer was lost finds the same text in force.
Version OperatorChanges::resolveConflict(const std::string &text, Version seen)
{
    m_statePoller.refresh();
    const auto current = m_state.configuration();
    if (current && current->text == text) {
        m_gate.waitUntilInForce(current->version);
        return current->version;
    }
    const Version now = current ? current->version : Version();
    throw Error(ErrorKind::Conflict,
                "the service list changed: you saw version " + std::to_string(seen.count())
                    + ", in force is version " + std::to_string(now.count())
                    + "; nothing was applied; look again (quetzalyokectl show) and repeat your "
                      "change on it");
}

GrantedKey OperatorChanges::grantKey(const AccountId &account)
{
    m_gate.requireMayAccept();
    m_statePoller.refresh();
    const auto configuration = m_state.configuration();
    if (!configuration || !configuration->serviceList.accounts.contains(account)) {
        throw Error(ErrorKind::BadSettings,
                    "no account named \"" + account.text()
                        + "\" is listed; apply a service list with it");
    }
    const GrantedKey key = makeKey(account);
    const auto version = m_commit.commit(
        {StateCache::apiKeyRowKey(key.record.id), key.record.toJson(), Version(0)});
    if (!version)
        throw Error(ErrorKind::Conflict, "the key's id is taken; no key was granted, try again");
    m_statePoller.refresh();
    m_gate.waitUntilInForce(*version);
    ProcessTimeline::record(TimelineEventKind::KeyGranted, {},
                            "id=" + key.record.id.text() + " account=" + account.text());
    LOG(INFO) << "event=key_granted id=" << key.record.id.text() << " account=" << account.text();
    return key;
}

void OperatorChanges::withdrawKey(const ApiKeyId &id)
{
    m_gate.requireMayAccept();
    for (int i = 0; i < withdrawTryLimit; ++i) {
        const auto version = tryWithdraw(id);
        if (!version)
            continue;
        m_statePoller.refresh();
        m_gate.waitUntilInForce(*version);
        ProcessTimeline::record(TimelineEventKind::KeyWithdrawn, {}, "id=" + id.text());
        LOG(INFO) << "event=key_withdrawn id=" << id.text();
        return;
    }
    throw Error(ErrorKind::Conflict,
                "key " + id.text() + " is being changed all the time; withdraw it again");
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
