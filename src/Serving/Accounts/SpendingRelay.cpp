#include "Serving/Accounts/SpendingRelay.h"

#include <set>

namespace quetzalyoke {

SpendingRelay::SpendingRelay(const Settings &settings, ReaderCandidate self, Hooks hooks)
    : m_settings(settings), m_self(std::move(self)), m_hooks(std::move(hooks)),
      m_sums(settings.silence), m_distrust(settings.distrust)
{ }

std::vector<ReaderCandidate> SpendingRelay::trusted(const std::vector<ReaderCandidate> &peers,
                                                    Instant now) const
{
    std::vector<ReaderCandidate> trusted{m_self};
    for (const ReaderCandidate &peer : peers) {
        if (peer.instance == m_self.instance || m_distrust.covers(peer.instance, now))
            continue;
        trusted.push_back(peer);
    }
    return trusted;
}

void SpendingRelay::chooseSpeaker(const std::vector<ReaderCandidate> &peers, Instant now)
{
    const bool isOther = !m_speaker.isEmpty() && m_speaker != m_self.instance;
    if (isOther && now - m_speakerHeardAt > m_settings.silence)
        m_distrust.noteFailure(m_speaker, now);
    m_speakers = speakersOfZones(trusted(peers, now));
    const InstanceId &speaker = m_speakers[m_self.zone];
    if (speaker == m_speaker)
        return;
    m_speaker = speaker;
    m_speakerHeardAt = now;
}

std::vector<SpendingRelay::Outgoing> SpendingRelay::tick(const std::vector<ReaderCandidate> &peers,
                                                         Incarnation incarnation,
                                                         const SpendingByAccount &own, Instant now)
{
    ++m_ticks;
    m_sums.expire(now);
    chooseSpeaker(peers, now);
    std::vector<Outgoing> messages;
    if (m_speaker == m_self.instance) {
        const NewsOrigin self{m_self.instance, incarnation, m_ticks};
        m_sums.takeMember(self, {own, 1, isYoung()}, now);
        takeOthers(self, m_sums.ofOthers(m_self.instance), now);
    } else {
        messages.push_back({m_speaker, {Kind::Member, {own, 1, isYoung()}}});
    }
    if (hasMembers())
        addSums(messages);
    return messages;
}

void SpendingRelay::addSums(std::vector<Outgoing> &messages) const
{
    for (const InstanceId &member : m_sums.members()) {
        if (member != m_self.instance)
            messages.push_back({member, {Kind::Others, m_sums.ofOthers(member)}});
    }
    // A speaker that this gateway would not choose has members that nobody else speaks for.
    std::set<InstanceId> others;
    for (const auto &[zone, speaker] : m_speakers)
        others.insert(speaker);
    for (const InstanceId &speaker : m_sums.speakers())
        others.insert(speaker);
    others.erase(m_self.instance);
    SpendingSum sum = m_sums.ofMembers();
    sum.isAllFresh = isYoung();
    for (const InstanceId &speaker : others)
        messages.push_back({speaker, {Kind::Members, sum}});
}

bool SpendingRelay::isYoung() const
{
    return m_ticks * m_settings.interval <= m_settings.silence;
}

void SpendingRelay::take(const NewsOrigin &from, const Message &message, Instant now)
{
    switch (message.kind) {
    case Kind::Member:
        m_sums.takeMember(from, message.sum, now);
        break;
    case Kind::Members:
        m_sums.takeSpeaker(from, message.sum, now);
        break;
    case Kind::Others:
        if (from.instance == m_speaker)
            takeOthers(from, message.sum, now);
        break;
    }
}

void SpendingRelay::takeOthers(const NewsOrigin &from, const SpendingSum &sum, Instant now)
{
    m_speakerHeardAt = now;
    if (from.instance != m_othersFrom.instance) {
        if (!m_othersFrom.instance.isEmpty())
            m_hooks.onSpeakerLeft(m_othersFrom.instance);
    } else if (from.incarnation < m_othersFrom.incarnation
               || (from.incarnation == m_othersFrom.incarnation
                   && from.sequence <= m_othersFrom.sequence)) {
        return;
    }
    m_othersFrom = from;
    m_hooks.onOthers(from, sum);
}

} // namespace quetzalyoke
