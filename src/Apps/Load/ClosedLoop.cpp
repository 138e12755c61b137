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
    std::mutex mutex; // of the members below
    Percentiles firstToken;
    Percentiles whole;
    std::int64_t failures = 0;
    std::int64_t tokens = 0;

    const Instant start = Process::now();
    const Instant end = start + duration;
    const auto work = [&](int worker) {
        LoadClient caller(addresses, static_cast<std::size_t>(worker));
        for (int i = 0; Process::now() < end; ++i) {
            PlannedRequest request;
            request.target = model;
            request.prompt = "caller " + std::to_string(worker) + " " + std::to_string(i) + " ";
            request.prompt.resize(static_cast<std::size_t>(promptTokens) * 4, 'x');
            request.outputTokens = outputTokens;
            const RequestOutcome outcome
                = caller.call(request, "/v1/completions", key, Process::now());
            const std::lock_guard lock(mutex);
            if (outcome.kind != RequestOutcome::Kind::Complete) {
                ++failures;
                continue;
            }
            firstToken.add(outcome.timeToFirstToken);
            whole.add(outcome.totalLatency);
            tokens += outcome.tokens;
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(concurrency));
    for (int i = 0; i < concurrency; ++i)
        threads.emplace_back(work, i);
    for (std::thread &it : threads)
        it.join();
    const double seconds = std::chrono::duration<double>(Process::now() - start).count();
    return {{"connections", concurrency},
            {"requests", whole.count()},
            {"failures", failures},
            {"requests_per_s", static_cast<double>(whole.count()) / seconds},
            {"tokens_per_s", static_cast<double>(tokens) / seconds},
            {"first_token_ms", firstToken.toJson()},
            {"whole_ms", whole.toJson()}};
}

} // namespace quetzalyoke
