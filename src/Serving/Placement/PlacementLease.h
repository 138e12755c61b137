#ifndef QUETZALYOKE_SERVING_PLACEMENT_PLACEMENTLEASE_H
#define QUETZALYOKE_SERVING_PLACEMENT_PLACEMENTLEASE_H

#include "Core/Placement/EngineOrder.h"
#include "Core/StrongTypes.h"

#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief The table row that names the gateway which may send orders to engines.
struct LeaseRow
{
    InstanceId holder;
    Incarnation incarnation; ///< Of the holder.
    FencingToken fencingToken; ///< Increases with each change of the holder.
    Version version; ///< Version of the row in the table.
    StoreEra era = {}; ///< Of the table when it gave the row this version.

    /// Returns whether the table has such a row.
    bool exists() const { return !holder.isEmpty(); }
    /// Returns whether the row comes from a copy of the table: its fencing token is of an earlier
    /// era. It doesn't show who holds the lease.
    bool isFromCopy() const;
};

/// Returns the first fencing token of \a era. It is above all tokens of earlier eras, whichever of
/// them were lost with the table's latest changes.
FencingToken firstFencingToken(StoreEra era);

/// \brief Decides when this gateway may send orders to engines, and when to read or write the lease
/// row.
///
/// The holder sends orders only while its latest renewal that the table confirmed was sent less
/// than Settings::validity ago. Another gateway takes over once it has seen the same row version
/// for the sum of validity, holderChangeInterval and takeoverMargin, measured by its own clock,
/// which must keep running while the instance is suspended. So orders of two gateways are always at
/// least holderChangeInterval apart, whatever messages are lost, late or answered after a
/// suspension.
///
/// If the table comes back from a copy, its row may name an earlier holder and an earlier token.
/// Then only a gateway that can't have been replaced yet may renew at once; all others wait as if
/// the row had just been renewed. Fencing tokens begin anew above those of the era before.
///
/// Among hundreds of gateways, messages about the holder arrive seconds apart. Only a few gateways
/// watch the row for all others, so that the calls to the table don't grow with the gateways.
class PlacementLease
{
public:
    struct Settings
    {
        Duration renewalInterval{
            600'000}; ///< Between renewals; one lost call must not lose the lease.
        Duration validity{2'200'000}; ///< Orders stop this long after the last confirmed renewal.
        Duration holderChangeInterval{
            3'000'000}; ///< Engines refuse a new holder's orders within it.
        Duration takeoverMargin{400'000}; ///< For an order in transit when its sender's lease ends.
        Duration extraTakeoverDelay{
            0}; ///< Further delay that lets larger instances take over first.
        Duration silenceBeforeRead{
            1'000'000}; ///< Time without a message about the holder before the row is read.
    };

    enum class Action { None, Read, Write };

    PlacementLease(const Settings &settings, InstanceId self, Incarnation incarnation);

    /// Sets the number of gateways that take over before this one to \a rank, and the interval of
    /// messages about the holder to \a messageInterval. Both are 0 before the first call.
    void setTakeoverRank(std::size_t rank, Duration messageInterval);

    /// Returns what to do now. Each action other than None must be followed by a call of onRead(),
    /// onWritten() or onCallFailed(); until then the next action is None.
    Action nextAction(Instant now);
    /// Returns the row to write for Action::Write, with the version that it replaces.
    LeaseRow rowToWrite() const;

    void onRead(const std::optional<LeaseRow> &row, Instant now);
    /// Takes the version of the written row, or nothing if the table had another version. The write
    /// was sent at \a sentAt.
    void onWritten(const std::optional<Version> &version, Instant sentAt);
    /// The outcome of the call is unknown, or the table refused it.
    void onCallFailed(Instant now);
    /// Takes the row as the peer that holds the lease has last renewed it.
    void onHolderRenewal(const LeaseRow &row, Instant now);

    bool mayOrderEngines(Instant now) const;
    /// Returns whether no other gateway can have taken over the lease yet, although this one may
    /// send no more orders.
    bool isSoleHolder(Instant now) const;
    FencingToken fencingToken() const { return m_row.fencingToken; }
    const LeaseRow &row() const { return m_row; }
    /// Gives up the lease: sends no more orders and lets the row expire.
    void resign() { m_resigned = true; }

private:
    bool isHeldBySelf() const;
    bool mayTakeOver(Instant now) const;
    Duration takeoverDelay() const;
    Duration readDelay() const;

    const Settings m_settings;
    const InstanceId m_self;
    const Incarnation m_incarnation;
    std::size_t m_rank = 0;
    Duration m_messageInterval{0};
    LeaseRow m_row;
    bool m_isRowKnown = false; // whether the row has been read
    bool m_isCallPending = false; // a result is awaited
    bool m_resigned = false;
    Instant m_versionSeenAt; // when the row's version was first seen
    Instant m_holderHeardAt; // latest message about the holder
    std::optional<Instant> m_firstReadAt;
    Instant m_lastCallAt;
    std::optional<Instant> m_confirmedRenewalSentAt; // when the latest confirmed renewal was sent
};

} // namespace quetzalyoke

#endif
