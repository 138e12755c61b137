#include "Apps/Entry/EntrySettings.h"

#include "Adapters/SettingsValues.h"

#include <charconv>

namespace quetzalyoke {

namespace {

// File descriptors kept for connections to the store, peers and servers, and for files.
constexpr std::int64_t reservedDescriptors = 1400;

// Without a stated memory, the limits derived from it are above what callers ordinarily need.
constexpr double defaultMemoryMb = 1024;

// Of these, the descriptors that are not for connections to servers.
constexpr std::int64_t ownDescriptors = 160;
constexpr std::int64_t ownDescriptorsInverseShare = 10;

double readNumber(IniSectionReader &reader, const std::string &name, double least, double most,
                  const std::string &fallback)
{
    const std::string text = reader.text(name, fallback);
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec == std::errc() && result.ptr == text.data() + text.size() && value >= least
        && value <= most)
        return value;
    reader.addProblem(name, name + " is not a number within its bounds",
                      "write a number between " + std::to_string(least) + " and "
                          + std::to_string(most));
    return least;
}

// The platform may leave the value empty.
double readMemory(IniSectionReader &reader)
{
    constexpr double leastMb = 16;
    constexpr double mostMb = 16'777'216;
    if (reader.text("memory_mb", "").empty())
        return defaultMemoryMb;
    return readNumber(reader, "memory_mb", leastMb, mostMb, "");
}

// Finds mistakes that only several settings together show.
void checkAddresses(const EntrySettings &settings, IniSectionReader &reader)
{
    const Address &callers = settings.callerListen;
    const Address &readiness = settings.readinessListen;
    const Address &peers = settings.peerListen;
    const auto isSame
        = [](const Address &a, const Address &b) { return a.port != 0 && a.text() == b.text(); };
    if (isSame(callers, readiness) || isSame(callers, peers) || isSame(readiness, peers)) {
        reader.addProblem("listen_callers",
                          "two of listen_callers, listen_readiness and listen_peers are the same",
                          "give each a port of its own");
    }
}

std::chrono::milliseconds seconds(double count)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(count * 1000));
}

} // namespace

EntrySettings EntrySettings::read(const IniDocument &document, Problems &problems)
{
    EntrySettings settings;
    readSingleSection(document, "entry", problems, [&settings](IniSectionReader &reader) {
        settings.instance = InstanceId(readName(reader, "instance"));
        settings.zone = ZoneName(readName(reader, "zone"));
        settings.callerListen = readAddress(reader, "listen_callers");
        settings.readinessListen = readAddress(reader, "listen_readiness");
        settings.peerListen = readAddress(reader, "listen_peers");
        settings.storeAddress = readAddress(reader, "store");
        const std::int64_t descriptors = reader.number("descriptors", 256, 1'048'576, 4096);
        settings.maxCallerConnections = static_cast<std::size_t>(
            std::max(descriptors - reservedDescriptors, descriptors / 2));
        const auto others = descriptors - static_cast<std::int64_t>(settings.maxCallerConnections);
        settings.maxRequests = static_cast<std::size_t>(
            others - std::min(ownDescriptors, descriptors / ownDescriptorsInverseShare));
        settings.memoryMb = readMemory(reader);
        settings.entryExpiryGrace = reader.milliseconds("lapse_grace_ms", 0, 60'000, 2000);
        settings.holderChangeInterval = reader.milliseconds("holder_pause_ms", 0, 60'000, 3000);
        settings.shutdownTimeout = seconds(readNumber(reader, "stop_grace_s", 1, 600, "8"));
        settings.retriesPerRequest = readNumber(reader, "retry_share", 0, 1, "0.2");
        settings.retryReserve = readNumber(reader, "retry_reserve", 0, 100'000, "50");
        settings.processorShare = readNumber(reader, "processor_share", 0.001, 1024, "1");
        settings.prefillTokensPerMs
            = readNumber(reader, "prefill_tokens_per_ms", 0.1, 10'000, "38");
        checkAddresses(settings, reader);
    });
    return settings;
}

} // namespace quetzalyoke
