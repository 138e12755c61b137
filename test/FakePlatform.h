#ifndef QUETZALYOKE_TEST_FAKEPLATFORM_H
#define QUETZALYOKE_TEST_FAKEPLATFORM_H

#include "Adapters/Async/EventLoop.h"
#include "Ports/EntryPlatform.h"

#include <map>

namespace quetzalyoke {

// A platform that has been read and is reachable.
class FakePlatform : public EntryPlatform
{
public:
    void start(Hooks) override { }
    void stop() override { }
    void refresh() override { }
    bool isLoaded() const override { return true; }
    bool isReachable() const override { return true; }
    StateVersions versions() const override { return {}; }
    StateTimes confirmedAt() const override { return {steadyNow(), steadyNow()}; }
    void confirmServers(std::function<void(bool)> done) override
    {
        ++confirmations;
        if (onConfirm)
            onConfirm();
        done(confirmsServers);
    }
    void setFollowing(bool) override { }
    void setHasFollowers(bool) override { }
    std::string changesSince(const StateVersions &) const override { return {}; }
    bool applyChanges(const std::string &, const StateTimes &) override { return true; }
    void readLease(LeaseReadHook) override { }
    void writeLease(const LeaseRow &, std::function<void(WriteOutcome, Version)>) override { }
    void readCrashRecords(CrashRecordsHook done) override { done(storedRecords); }
    void writeCrashRecords(const std::vector<CrashRecord> &records,
                           std::function<void(bool)> done) override
    {
        storedRecords = records;
        done(true);
    }
    void join(const ListedGateway &,
              std::function<void(bool, const std::vector<ListedGateway> &)>) override
    { }

    void writeStreamVersions(const StreamVersionWrite &write,
                             std::function<void(bool)> done) override
    {
        for (const auto &[key, version] : write.added)
            storedStreams[key] = version;
        for (const StreamKey &key : write.removed)
            storedStreams.erase(key);
        done(true);
    }
    void readStreamVersion(const StreamKey &key, StreamVersionHook done) override
    {
        const auto it = storedStreams.find(key);
        done(it == storedStreams.end() ? SoftwareVersion() : it->second);
    }
    void writeVersionSightings(const std::vector<VersionSighting> &sightings,
                               std::function<void(bool)> done) override
    {
        storedSightings = sightings;
        done(true);
    }
    void readVersionSightings(VersionSightingsHook done) override { done(storedSightings); }

    bool confirmsServers = true;
    int confirmations = 0;
    std::function<void()> onConfirm; // may add what the store has meanwhile
    std::vector<CrashRecord> storedRecords;
    std::map<StreamKey, SoftwareVersion> storedStreams;
    std::vector<VersionSighting> storedSightings;
};

} // namespace quetzalyoke

#endif
