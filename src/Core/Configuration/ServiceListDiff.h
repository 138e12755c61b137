#ifndef QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTDIFF_H
#define QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTDIFF_H

#include "Core/Configuration/ServiceList.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief One changed setting of an entry, with both values.
struct SettingChange
{
    std::string name;
    std::string before;
    std::string after;
};

enum class EntryChangeKind { Added, Removed, Changed };

/// \brief One entry that differs between two service lists.
struct EntryChange
{
    EntryChangeKind kind = EntryChangeKind::Changed;
    std::string entry; ///< As in its heading, for example "model history-summary".
    std::vector<SettingChange> settings; ///< Settings that differ, if the entry has changed.
};

/// Returns the entries that change when \a after replaces \a before.
std::vector<EntryChange> diffServiceLists(const ServiceList &before, const ServiceList &after);

/// Returns a text with one line per entry and per changed setting.
std::string formatChanges(const std::vector<EntryChange> &changes);

} // namespace quetzalyoke

#endif
