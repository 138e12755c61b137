#ifndef QUETZALYOKE_SERVING_REQUESTS_CRASHSUSPECTS_H
#define QUETZALYOKE_SERVING_REQUESTS_CRASHSUSPECTS_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief A crash of a backend server, or a trial, that counts against a suspect.
struct CrashRecord
{
    Fingerprint suspect; ///< A whole request or a shared part of prompts.
    std::string incident; ///< Id of the crash or trial, the same at every gateway.
    InstanceId reporter; ///< The gateway that saw it.

    bool operator==(const CrashRecord &) const = default;
};

/// \brief Infers from crashes of backend servers which requests must not be sent any more; no I/O.
///
/// A crash accuses everything in the requests that may have been running there. A suspect in two
/// crashes is refused, unless another suspect was in all of them and in further ones, which then
/// explains them; up to two crashes of a whole request can be explained. A suspect that a server
/// survives is removed.
///
/// A refused suspect may be tried again by one gateway at a time. Trials count like crashes, so
/// that their number is limited over all gateways and whichever of them makes them.
///
/// Suspects that were in exactly the same crashes can't be told apart. All of them are refused, and
/// a request with only some of them is preferred for a trial.
class CrashSuspects
{
public:
    struct Limits
    {
        std::size_t refuseAfter = 2; ///< Number of records from which on a suspect is refused.
        std::size_t maxExplainedOfRequest = 2; ///< Records of a whole request, not of a part.
        std::size_t lastTrialAfter = 5; ///< No trial once there are more records than this.
        /// Since the latest record; doubled for each record beyond refuseAfter.
        Duration trialDelay = std::chrono::seconds(5);
        /// Factor for a request with all of several suspects that can't be told apart.
        int ambiguousTrialFactor = 4;
        /// Since the latest record or request with the suspect at any gateway.
        Duration retention = std::chrono::minutes(30);
        std::size_t maxSuspects = 1'000; ///< Those with the fewest records are removed first.
    };

    explicit CrashSuspects(const Limits &limits) : m_limits(limits) { }

    /// Merges a record. Returns whether it was new.
    bool add(const CrashRecord &record, Instant now);
    /// Removes a suspect that a server has survived. Returns whether it was known.
    bool remove(const Fingerprint &suspect);
    /// Returns the first of \a suspects that is refused; nothing if there is none.
    std::optional<Fingerprint> firstRefused(const std::vector<Fingerprint> &suspects) const;
    /// Returns whether a request with \a suspects, of which at least one is refused, may be tried.
    bool mayTry(const std::vector<Fingerprint> &suspects, Instant now) const;
    /// Records a request with \a suspect. Returns whether peers must be told of it, so that they
    /// don't forget the suspect.
    bool recordRequest(const Fingerprint &suspect, Instant now);
    /// Returns the records against \a suspect.
    std::vector<CrashRecord> recordsOf(const Fingerprint &suspect) const;
    /// Returns the records against all refused suspects.
    std::vector<CrashRecord> refusedRecords() const;
    /// Returns the records against all suspects: refused ones first, then the latest.
    std::vector<CrashRecord> records() const;
    /// Returns a number that changes with each record that is added or removed.
    std::uint64_t revision() const { return m_revision; }
    /// Returns a number that is the same at all gateways that refuse the same suspects for the same
    /// records, and zero without any.
    std::uint64_t digest() const { return m_digest; }
    bool isRefused(const Fingerprint &suspect) const;
    void removeExpired(Instant now);

private:
    using Incidents = std::map<std::string, InstanceId>; // with their reporters
    struct Entry
    {
        Incidents incidents;
        Instant lastRecordAt;
        Instant lastRequestAt;
        Instant announcedAt; // when peers were told last
        bool isRefused = false;
    };

    void updateRefused();
    std::uint64_t digestOf(const Fingerprint &suspect, const Entry &entry) const;
    bool isExplainedByAnother(const Fingerprint &suspect, const Entry &entry) const;
    void removeWeakest();

    const Limits m_limits;
    std::unordered_map<Fingerprint, Entry> m_entries;
    std::uint64_t m_digest = 0;
    std::uint64_t m_revision = 0;
};

} // namespace quetzalyoke

#endif
