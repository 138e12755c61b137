#ifndef QUETZALYOKE_SERVING_REQUESTS_CRASHNEWS_H
#define QUETZALYOKE_SERVING_REQUESTS_CRASHNEWS_H

#include "Core/Requests/CrashLedger.h"

#include <map>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// \brief Which crashes the next news to peers tell of; no I/O.
///
/// Answers many servers that crash at once: all requests that were in flight there are suspected,
/// and news that told of them all, each time, would fill the links of small instances. Each crash
/// is told a few times, in case a datagram is lost, and a datagram holds a bounded number.
class CrashNews
{
public:
    struct Settings
    {
        int repeats = 3; ///< Tellings of each crash.
        std::size_t perNews = 48; ///< Crashes in one datagram, some 70 B each.
    };

    explicit CrashNews(const Settings &settings) : m_settings(settings) { }

    /// A crash that this gateway has found out itself.
    void add(const Fingerprint &fingerprint, const std::string &incident);
    /// The crashes that the next news tell of.
    std::vector<Suspicion> next();
    /// Parts of \a suspicions that fit a datagram each.
    std::vector<std::vector<Suspicion>> split(const std::vector<Suspicion> &suspicions) const;

private:
    const Settings m_settings;
    std::map<std::pair<Fingerprint, std::string>, int> m_left; // tellings
};

} // namespace quetzalyoke

#endif
