#ifndef QUETZALYOKE_SERVING_SERVERS_REQUESTRATE_H
#define QUETZALYOKE_SERVING_SERVERS_REQUESTRATE_H

#include <compare>

namespace quetzalyoke {

/// \brief A number of requests per second, which may be below one.
class RequestRate
{
public:
    constexpr RequestRate() = default;
    constexpr explicit RequestRate(double perSecond) : m_perSecond(perSecond) { }

    constexpr double perSecond() const { return m_perSecond; }

    constexpr auto operator<=>(const RequestRate &) const = default;

private:
    double m_perSecond = 0;
};

} // namespace quetzalyoke

#endif
