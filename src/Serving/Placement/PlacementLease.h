#ifndef QUETZALYOKE_SERVING_PLACEMENT_PLACEMENTLEASE_H
#define QUETZALYOKE_SERVING_PLACEMENT_PLACEMENTLEASE_H

#include "Core/Placement/EngineOrder.h"
#include "Core/StrongTypes.h"

#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief The row that says which gateway may order engines.
struct LeaseRow
{
    InstanceId holder;
    Incarnation incarnation; ///< Of the holder.
    FencingToken fencingToken; ///< Rises with each holder.
    Version version; ///< Of the row in the table; zero: there is none.
};

/// \brief Decides when this gateway may order engines, and when to read or write the lease row.
///
/// A holder orders only while its latest renewal that the table confirmed was sent less than
/// `validity` ago. Another gateway takes over once it has seen the same row version for validity,
/// the engines' minimum pause between holders and a margin, all by its own clock, which must go
/// on while the instance is suspended. So no two gateways order within one pause of each other,
/// whatever messages are lost, late or answered after a freeze.
///
/// Answers fleets of hundreds, in which news of the holder are seconds apart: a few gateways watch
/// the row for all, so that the table's calls don't grow with the gateways.
class PlacementLease
{
public:
    struct Settings
    {
        Duration renewalInterval{
            600'000}; ///< Between renewals; one lost call must not cost the lease.
        Duration validity{2'200'000}; ///< Orders stop this long after the last confirmed renewal.
        Duration holderChangeInterval{3'000'000}; ///< Engines take no turns of holders within it.
        Duration takeoverMargin{400'000}; ///< For an order on its way when its holder's right ends.
        Duration extraTakeoverDelay{
            0}; ///< Longer wait for a vacant lease, to let larger instances take it.
        Duration silenceBeforeRead{
            1'000'000}; ///< Without news of a holder before the row is looked at.
    };

    enum class Action { None, Read, Write };

    PlacementLease(const Settings &limits, InstanceId self, Incarnation incarnation);

    /// \a rank counts the gateways that take over before this one; news of a holder come every
    /// \a newsInterval. Until it is called, this gateway comes first and hears all the time.
    void setTakeoverRank(std::size_t rank, Duration newsInterval);

    /// What to do now. Each answer must be followed by a result before the next one.
    Action nextAction(Instant now);
    /// Row to write for Action::Write, and the version that it replaces.
    LeaseRow rowToWrite() const;

    void onRead(const std::optional<LeaseRow> &row, Instant now);
    /// Nothing: the condition failed. \a sentAt is when the write was sent.
    void onWritten(const std::optional<Version> &version, Instant sentAt);
    /// The call's outcome is unknown or the table refused it.
    void onCallFailed(Instant now);
    /// The row as a peer that holds the lease has last renewed it.
    void onHolderRenewal(const LeaseRow &row, Instant now);

    bool mayOrderEngines(Instant now) const;
    FencingToken fencingToken() const { return m_row.fencingToken; }
    const LeaseRow &row() const { return m_row; }
    /// No more orders; the row is left to lapse.
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
    Duration m_newsInterval{0};
    LeaseRow m_row;
    bool m_isRowKnown = false; // whether the row has been read
    bool m_isCallPending = false; // for a result
    bool m_resigned = false;
    Instant m_versionSeenAt; // when the row's version was first seen
    Instant m_holderHeardAt; // of a holder
    std::optional<Instant> m_firstReadAt;
    Instant m_lastCallAt;
    std::optional<Instant>
        m_confirmedRenewalSentAt; // sending of the latest renewal that the table confirmed
};

} // namespace quetzalyoke

#endif
