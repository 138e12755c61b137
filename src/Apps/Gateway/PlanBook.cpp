#include "Apps/Gateway/PlanBook.h"

#include <algorithm>

namespace quetzalyoke {

PlanBook::PlanBook(TableStore &table, std::size_t shards)
    : m_table(table), m_shards(shards), m_current(std::make_shared<CommittedPlan>())
{ }

void PlanBook::refresh()
{
    bool changed = false;
    for (const TableRow &it : m_table.scan(PlanRow::prefix, m_readVersion)) {
        m_readVersion = std::max(m_readVersion, it.version);
        if (!isOwnRow(it.key))
            continue;
        m_rows[it.key] = {PlanRow::fromJson(it.value), it.version};
        changed = true;
    }
    if (changed)
        publish();
}

// Rows of a larger number of shards, from before the setting was changed, count no more.
bool PlanBook::isOwnRow(const std::string &key) const
{
    for (std::size_t i = 0; i < m_shards; ++i) {
        if (key == PlanRow::keyOf(i))
            return true;
    }
    return false;
}

// One scan shows the table at one moment and versions are commit numbers of the whole table, so
// the highest version names the state of all rows.
void PlanBook::publish()
{
    auto plan = std::make_shared<CommittedPlan>();
    plan->version = m_readVersion;
    plan->configuration = m_rows.begin()->second.row.configuration;
    for (const auto &[key, known] : m_rows) {
        plan->plan.models.insert(known.row.plan.models.begin(), known.row.plan.models.end());
        if (known.row.configuration != plan->configuration)
            plan->configuration = Version();
    }
    const std::lock_guard lock(m_mutex);
    m_current = std::move(plan);
}

std::shared_ptr<const CommittedPlan> PlanBook::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

void PlanBook::commit(const PlacementPlan &plan, Version configuration)
{
    std::vector<PlanRow> rows(m_shards);
    for (const auto &[model, copies] : plan.models)
        rows[PlanRow::shardOf(model, m_shards)].plan.models[model] = copies;
    std::vector<ConditionalWrite> writes;
    for (std::size_t i = 0; i < m_shards; ++i) {
        const std::string key = PlanRow::keyOf(i);
        const auto known = m_rows.find(key);
        const bool isNew = known == m_rows.end();
        if (!isNew && known->second.row.configuration == configuration
            && known->second.row.plan == rows[i].plan) {
            continue;
        }
        rows[i].configuration = configuration;
        writes.push_back({key, rows[i].toJson(), isNew ? Version(0) : known->second.version});
    }
    // A condition that fails, or an answer that is lost, is settled by the next refresh.
    if (!writes.empty())
        m_table.commit(writes);
}

} // namespace quetzalyoke
