#include "Apps/Load/ClosedLoop.h"

#include "Adapters/Process.h"
#include "Apps/Load/LoadClient.h"
#include "Apps/Load/Percentiles.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>

namespace quetzalyoke {

nlohmann::json ClosedLoop::run() const
{
    std::mutex mutex; // protects the variables below
    Percentiles timesToFirstToken;
    Percentiles totalLatencies;
    std::int64_t failures = 0;
    std::int64_t tokens = 0;

    const Instant start = Process::now();
    const Instant end = start + duration;
    const auto runWorker = [&](int worker) {
        LoadClient client(addresses, static_cast<std::size_t>(worker));
        for (int i = 0; Process::now() < end; ++i) {
            PlannedRequest request;
            request.target = model;
            request.prompt = "caller " + std::to_string(worker) + " " + std::to_string(i) + " ";
            request.prompt.resize(static_cast<std::size_t>(promptTokens) * 4, 'x');
            request.outputTokens = outputTokens;
            const RequestOutcome outcome
                = client.call(request, "/v1/completions", key, Process::now());
            const std::lock_guard lock(mutex);
            if (outcome.kind != RequestOutcome::Kind::Complete) {
                ++failures;
                continue;
            }
            timesToFirstToken.add(outcome.timeToFirstToken);
            totalLatencies.add(outcome.totalLatency);
            tokens += outcome.tokens;
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(concurrency));
    for (int i = 0; i < concurrency; ++i)
        threads.emplace_back(runWorker, i);
    for (std::thread &it : threads)
        it.join();
    const double seconds = std::chrono::duration<double>(Process::now() - start).count();
    return {{"connections", concurrency},
            {"requests", totalLatencies.count()},
            {"failures", failures},
            {"requests_per_s", static_cast<double>(totalLatencies.count()) / seconds},
            {"tokens_per_s", static_cast<double>(tokens) / seconds},
            {"first_token_ms", timesToFirstToken.toJson()},
            {"whole_ms", totalLatencies.toJson()}};
}

} // namespace quetzalyoke
