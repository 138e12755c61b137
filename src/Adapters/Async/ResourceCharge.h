#ifndef QUETZALYOKE_ADAPTERS_ASYNC_RESOURCECHARGE_H
#define QUETZALYOKE_ADAPTERS_ASYNC_RESOURCECHARGE_H

#include <cstddef>
#include <memory>
#include <utility>

namespace quetzalyoke {

/// \brief Adds an amount, such as bytes of memory, to a total for as long as it exists; moves with
/// what uses them.
class ResourceCharge
{
public:
    /// What all charges of one kind add up to.
    struct Total
    {
        std::size_t amount = 0;
        std::size_t limit = 0;
    };

    /// Charges nothing.
    ResourceCharge() = default;
    ResourceCharge(std::shared_ptr<Total> total, std::size_t amount) : m_total(std::move(total))
    {
        add(amount);
    }
    ResourceCharge(ResourceCharge &&other) noexcept
        : m_total(std::move(other.m_total)), m_amount(std::exchange(other.m_amount, 0))
    { }
    ResourceCharge &operator=(ResourceCharge &&other) noexcept
    {
        std::swap(m_total, other.m_total);
        std::swap(m_amount, other.m_amount);
        return *this;
    }
    ~ResourceCharge()
    {
        if (m_total)
            m_total->amount -= m_amount;
    }

    /// Returns a charge to the same total.
    ResourceCharge another(std::size_t amount) const { return {m_total, amount}; }
    void add(std::size_t amount)
    {
        if (!m_total)
            return;
        m_amount += amount;
        m_total->amount += amount;
    }
    bool isTotalOverLimit() const { return m_total && m_total->amount > m_total->limit; }

private:
    std::shared_ptr<Total> m_total;
    std::size_t m_amount = 0;
};

} // namespace quetzalyoke

#endif
