#ifndef QUETZALYOKE_ADAPTERS_ASYNC_RECEIVEBUDGET_H
#define QUETZALYOKE_ADAPTERS_ASYNC_RECEIVEBUDGET_H

#include "Adapters/Async/ResourceCharge.h"
#include "Core/StrongTypes.h"

#include <memory>
#include <unordered_map>

namespace quetzalyoke {

/// \brief The memory that the callers of one process may make it hold, in two parts.
///
/// The first part is held by connections: requests that are not complete yet and responses that
/// the caller has not read yet. When it is exceeded, connections are evicted: first the one that
/// has made no progress for the longest, weighted by what it holds. The second part is held by
/// complete requests and the responses to them; when it is used up, new requests are rejected.
class ReceiveBudget
{
public:
    /// \brief A connection that holds bytes.
    class Holder
    {
    public:
        /// Releases what the connection holds. Called from the event loop only.
        virtual void evict() = 0;

        virtual ~Holder() = default;
    };

    struct Limits
    {
        std::size_t connectionBytes = 0;
        std::size_t requestBytes = 0;
    };

    /// From this size on, the system takes back a block of memory as soon as it is freed, and a
    /// block occupies memory only as far as it has been written to. \sa limitMemoryRetention()
    static constexpr std::size_t largeBlockBytes = 131'072;

    explicit ReceiveBudget(const Limits &limits);

    /// Returns the limits for a process on a machine of \a memoryMb megabytes.
    static Limits limitsFor(double memoryMb);

    /// Records that \a holder now holds \a bytes, and that it has received or sent \a movedBytes
    /// since the last call.
    void record(Holder *holder, std::size_t bytes, std::size_t movedBytes, Instant now);
    void remove(Holder *holder);
    /// Returns true once when the limit is exceeded; evictExcess() must be called from the event
    /// loop then.
    bool beginEviction();
    void evictExcess(Instant now);

    /// Returns whether there is memory for a complete request of \a bytes and its response.
    bool mayTakeOn(std::size_t bytes) const;
    /// Counts \a bytes of a complete request for as long as the result exists.
    ResourceCharge chargeRequest(std::size_t bytes) const { return {m_requests, bytes}; }

    std::size_t connectionBytes() const { return m_connectionBytes; }
    std::size_t requestBytes() const { return m_requests->amount; }

private:
    struct Entry
    {
        std::size_t bytes = 0;
        std::size_t movedBytes = 0; // since the last progress
        Instant progressAt;
    };

    Holder *worstHolder(Instant now) const;

    const std::size_t m_connectionLimit;
    std::size_t m_connectionBytes = 0;
    bool m_isEvictionPending = false;
    std::unordered_map<Holder *, Entry> m_entries;
    std::shared_ptr<ResourceCharge::Total> m_requests;
};

/// Keeps freed memory from staying with the process: without this, the C library raises the size
/// from which it returns blocks to the system each time a larger one is freed.
void limitMemoryRetention();

} // namespace quetzalyoke

#endif
