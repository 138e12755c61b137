#ifndef QUETZALYOKE_CORE_STRONGTYPES_H
#define QUETZALYOKE_CORE_STRONGTYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace quetzalyoke {

/// \brief A textual identifier whose type keeps it apart from identifiers of other kinds.
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text) : m_text(std::move(text)) { }

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    auto operator<=>(const StrongId &) const = default;

private:
    std::string m_text;
};

/// \brief An integer with a unit. Only quantities of the same unit can be added and compared.
template<typename Tag>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t count) : m_count(count) { }

    constexpr std::int64_t count() const { return m_count; }

    constexpr auto operator<=>(const Quantity &) const = default;
    constexpr Quantity operator+(Quantity other) const { return Quantity(m_count + other.m_count); }
    constexpr Quantity operator-(Quantity other) const { return Quantity(m_count - other.m_count); }
    constexpr Quantity &operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }

private:
    std::int64_t m_count = 0;
};

using AccountId = StrongId<struct AccountTag>; ///< Client account.
using ApiKeyId = StrongId<struct ApiKeyTag>; ///< Public identifier of an account's API key.
using ModelName = StrongId<struct ModelTag>;
using AdapterName = StrongId<struct AdapterTag>;
using ServiceName = StrongId<struct ServiceTag>;
using ServerName = StrongId<struct ServerTag>; ///< Backend server.
using InstanceId = StrongId<struct InstanceTag>; ///< One running process of the system.
/// Of a backend server's software: a text without order.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using ZoneName = StrongId<struct ZoneTag>; ///< Availability zone.
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>; ///< One try at one request.
using Fingerprint
    = StrongId<struct FingerprintTag>; ///< Identifies a request or a part of its prompt.

/// How often the platform's store came back from a copy, which loses its latest changes.
using StoreEra = Quantity<struct StoreEraTag>;

using Tokens = Quantity<struct TokensTag>;
using TokensPerSecond = Quantity<struct TokensPerSecondTag>;
using Megabytes = Quantity<struct MegabytesTag>;
using Version = Quantity<struct VersionTag>; ///< Version of state in the table; it only increases.
using Incarnation = Quantity<struct IncarnationTag>; ///< Increases with each start of an instance.

/// Monotonic time, which the caller passes to the modules that make decisions.
using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns \a duration times \a factor, rounded down.
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace quetzalyoke

template<typename Tag>
struct std::hash<quetzalyoke::StrongId<Tag>>
{
    std::size_t operator()(const quetzalyoke::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};

#endif
