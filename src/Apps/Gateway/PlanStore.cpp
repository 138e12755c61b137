#include "Apps/Gateway/PlanStore.h"

#include <algorithm>

namespace quetzalyoke {

PlanStore::PlanStore(TableStore &table, std::size_t shardCount)
    : m_table(table), m_shardCount(shardCount), m_current(std::make_shared<CommittedPlan>())
{ }

void PlanStore::refresh()
{
    bool changed = false;
    for (const TableRow &it : m_table.scan(PlanRow::rowKeyPrefix, m_readVersion)) {
        m_readVersion = std::max(m_readVersion, it.version);
        if (!isShardKey(it.key))
            continue;
        m_rows[it.key] = {PlanRow::fromJson(it.value), it.version};
        changed = true;
    }
    if (changed)
        updateCurrent();
}

// Rows left over from a larger number of shards, before the setting was changed, are ignored.
bool PlanStore::isShardKey(const std::string &key) const
{
    for (std::size_t i = 0; i < m_shardCount; ++i) {
        if (key == PlanRow::rowKey(i))
            return true;
    }
    return false;
}

// A scan returns a snapshot of the table, and versions are commit numbers of the whole table.
// Therefore the highest version identifies the state of all rows.
void PlanStore::updateCurrent()
{
    auto plan = std::make_shared<CommittedPlan>();
    plan->version = m_readVersion;
    plan->configurationVersion = m_rows.begin()->second.row.configurationVersion;
    for (const auto &[key, known] : m_rows) {
        plan->plan.models.insert(known.row.plan.models.begin(), known.row.plan.models.end());
        if (known.row.configurationVersion != plan->configurationVersion)
            plan->configurationVersion = Version();
    }
    const std::lock_guard lock(m_mutex);
    m_current = std::move(plan);
}

std::shared_ptr<const CommittedPlan> PlanStore::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

void PlanStore::commit(const PlacementPlan &plan, Version configuration)
{
    std::vector<PlanRow> rows(m_shardCount);
    for (const auto &[model, copies] : plan.models)
        rows[PlanRow::shardOf(model, m_shardCount)].plan.models[model] = copies;
    std::vector<ConditionalWrite> writes;
    for (std::size_t i = 0; i < m_shardCount; ++i) {
        const std::string key = PlanRow::rowKey(i);
        const auto known = m_rows.find(key);
        const bool isNew = known == m_rows.end();
        if (!isNew && known->second.row.configurationVersion == configuration
            && known->second.row.plan == rows[i].plan) {
            continue;
        }
        rows[i].configurationVersion = configuration;
        writes.push_back({key, rows[i].toJson(), isNew ? Version(0) : known->second.version});
    }
    // After a failed condition or a lost response, the next refresh() reads what is in the table.
    if (!writes.empty())
        m_table.commit(writes);
}

} // namespace quetzalyoke
