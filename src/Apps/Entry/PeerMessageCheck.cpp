#include "Apps/Entry/PeerMessageCheck.h"

#include "Core/ExternalText.h"

#include <algorithm>
#include <initializer_list>

namespace quetzalyoke {

namespace {

// An incident is the name of a server with its incarnation.
constexpr std::size_t maxIncidentBytes = 2 * maxExternalNameBytes;

bool areNames(std::initializer_list<const std::string *> texts)
{
    return std::all_of(texts.begin(), texts.end(),
                       [](const std::string *it) { return isExternalName(*it); });
}

bool isValid(const wire::PeerSpent &entry)
{
    return areNames({&entry.account});
}

bool isValid(const wire::PeerDemand &entry)
{
    return areNames({&entry.model});
}

bool isValid(const wire::PeerAdapter &entry)
{
    return areNames({&entry.server, &entry.model, &entry.adapter});
}

bool isValid(const wire::PeerNotice &entry)
{
    return areNames({&entry.server, &entry.model, &entry.adapter});
}

bool isValid(const wire::PeerCrash &entry)
{
    return areNames({&entry.fingerprint, &entry.reporter})
        && isExternalName(entry.incident, maxIncidentBytes);
}

bool isValid(const wire::PeerServerSignal &entry)
{
    return areNames({&entry.server});
}

template<typename Entry>
std::size_t removeInvalid(std::vector<Entry> &entries)
{
    return std::erase_if(entries, [](const Entry &entry) { return !isValid(entry); });
}

} // namespace

PeerMessageVerdict checkPeerMessage(wire::PeerNews &message)
{
    PeerMessageVerdict verdict;
    verdict.isUsable = areNames({&message.instance, &message.http, &message.zone})
        && areNames({&message.permitRequest.server, &message.permitReply.server});
    verdict.invalidEntries = removeInvalid(message.spent) + removeInvalid(message.demand)
        + removeInvalid(message.wanted) + removeInvalid(message.used)
        + removeInvalid(message.notices) + removeInvalid(message.crashes)
        + removeInvalid(message.serverSignals) + removeInvalid(message.spending.accounts);
    return verdict;
}

} // namespace quetzalyoke
