#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGRELAY_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGRELAY_H

#include "Serving/Accounts/SpendingSums.h"
#include "Serving/State/ReaderElection.h"

#include <functional>

namespace quetzalyoke {

/// \brief What gateways tell each other of their accounts' spending where they are too many for
/// each to tell all others often; no I/O.
///
/// Answers an account that suddenly asks for several times its rate at hundreds of gateways. Each
/// gateway tells one speaker of its availability zone what it has spent, the speakers exchange the
/// sums of their members, and each tells its members what all others have spent. News are at most
/// three intervals old, and a gateway that is no speaker sends and gets one message an interval,
/// however many there are.
///
/// Every gateway chooses its speaker by itself. If two differ, the zone has two speakers, whose
/// sums complete each other; a speaker that falls silent is replaced after the silence.
class SpendingRelay
{
public:
    enum class Kind {
        Member, ///< To its speaker: what the sender has spent.
        Members, ///< To other speakers: the sum of the sender's members.
        Others, ///< To a member: the sum of all gateways but itself.
    };
    struct Message
    {
        Kind kind = Kind::Member;
        SpendingSum sum;
    };
    struct Outgoing
    {
        InstanceId to;
        Message message;
    };
    struct Settings
    {
        Duration interval{250'000}; ///< Between two ticks.
        /// Until a gateway that tells nothing is left out, or a speaker replaced: two messages in a
        /// row are lost, or it is.
        Duration silence{900'000};
        /// After a speaker failed: two speakers cost a zone little, each change costs a silence.
        Duration distrust{30'000'000};
    };
    struct Hooks
    {
        /// All other gateways that are heard of have spent \a sum since the start of \a speaker.
        std::function<void(const NewsOrigin &speaker, const SpendingSum &sum)> onOthers;
        /// What \a speaker has told counts no more; another one has taken over.
        std::function<void(const InstanceId &speaker)> onSpeakerLeft;
    };

    SpendingRelay(const Settings &settings, ReaderCandidate self, Hooks hooks);

    /// What is to be sent now. \a own is cumulative since the start of this gateway's \a
    /// incarnation.
    std::vector<Outgoing> tick(const std::vector<ReaderCandidate> &peers, Incarnation incarnation,
                               const SpendingByAccount &own, Instant now);
    void take(const NewsOrigin &from, const Message &message, Instant now);
    /// This gateway has stood still: its speaker may well have spoken meanwhile.
    void onResumed(Instant now) { m_speakerHeardAt = now; }
    /// Whether other gateways rely on this one.
    bool hasMembers() const { return !m_sums.members().empty(); }
    const InstanceId &speaker() const { return m_speaker; }

private:
    void chooseSpeaker(const std::vector<ReaderCandidate> &peers, Instant now);
    std::vector<ReaderCandidate> trusted(const std::vector<ReaderCandidate> &peers,
                                         Instant now) const;
    void takeOthers(const NewsOrigin &from, const SpendingSum &sum, Instant now);
    void addSums(std::vector<Outgoing> &messages) const;
    bool isYoung() const;

    const Settings m_settings;
    const ReaderCandidate m_self;
    const Hooks m_hooks;
    SpendingSums m_sums;
    std::map<ZoneName, InstanceId> m_speakers; // of all zones, as this gateway sees them
    InstanceId m_speaker; // of this gateway
    Instant m_speakerHeardAt; // or chosen
    NewsOrigin m_othersFrom; // the latest sum of all others
    Distrust m_distrust; // of speakers
    std::int64_t m_ticks = 0;
};

} // namespace quetzalyoke

#endif
