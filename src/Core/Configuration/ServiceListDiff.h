#ifndef QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTDIFF_H
#define QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTDIFF_H

#include "Core/Configuration/ServiceList.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief One setting of an entry, before and after.
struct SettingChange
{
    std::string name;
    std::string before;
    std::string after;
};

enum class EntryChangeKind { Added, Removed, Changed };

/// \brief One entry of a service list that differs between two lists.
struct EntryChange
{
    EntryChangeKind kind = EntryChangeKind::Changed;
    std::string entry; ///< As in its heading, for example "model history-summary".
    std::vector<SettingChange> settings; ///< Of a changed entry: those that differ.
};

/// What putting \a after in force in place of \a before would change, by entry.
std::vector<EntryChange> diffServiceLists(const ServiceList &before, const ServiceList &after);

/// One line an entry and one a changed setting.
std::string formatChanges(const std::vector<EntryChange> &changes);

} // namespace quetzalyoke

#endif
