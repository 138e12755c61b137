#include "Serving/Requests/CrashNews.h"

namespace quetzalyoke {

void CrashNews::add(const Fingerprint &fingerprint, const std::string &incident)
{
    m_left[{fingerprint, incident}] = m_settings.repeats;
}

std::vector<Suspicion> CrashNews::next()
{
    std::vector<Suspicion> told;
    for (auto it = m_left.begin(); it != m_left.end() && told.size() < m_settings.perNews;) {
        told.push_back({it->first.first, {it->first.second}});
        it = --it->second == 0 ? m_left.erase(it) : std::next(it);
    }
    return told;
}

std::vector<std::vector<Suspicion>> CrashNews::split(const std::vector<Suspicion> &suspicions) const
{
    std::vector<std::vector<Suspicion>> parts;
    for (const Suspicion &suspicion : suspicions) {
        for (const std::string &incident : suspicion.incidents) {
            if (parts.empty() || parts.back().size() == m_settings.perNews)
                parts.emplace_back();
            parts.back().push_back({suspicion.fingerprint, {incident}});
        }
    }
    return parts;
}

} // namespace quetzalyoke
