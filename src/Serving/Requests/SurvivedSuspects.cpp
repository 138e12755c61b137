#include "Serving/Requests/SurvivedSuspects.h"

#include <xxhash.h>

#include <algorithm>

namespace quetzalyoke {

std::uint64_t SurvivedSuspects::hashOf(const Fingerprint &suspect)
{
    const std::uint64_t hash = XXH64(suspect.text().data(), suspect.text().size(), 0);
    return hash == 0 ? 1 : hash;
}

void SurvivedSuspects::record(const Fingerprint &suspect)
{
    const std::uint64_t hash = hashOf(suspect);
    Set &set = m_sets[hash % setCount];
    const auto known = std::find(set.begin(), set.end(), hash);
    const auto last = known == set.end() ? std::prev(set.end()) : known;
    std::rotate(set.begin(), last, std::next(last));
    set.front() = hash;
}

bool SurvivedSuspects::contains(const Fingerprint &suspect) const
{
    const std::uint64_t hash = hashOf(suspect);
    const Set &set = m_sets[hash % setCount];
    return std::find(set.begin(), set.end(), hash) != set.end();
}

} // namespace quetzalyoke
