#include "Apps/Load/OpenLoop.h"

#include "Adapters/Process.h"
#include "Apps/Load/LoadClient.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds startDelay{200};

void printEvents(const Experiment &experiment, Instant start)
{
    std::vector<TimedEvent> events = experiment.events;
    std::stable_sort(events.begin(), events.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const TimedEvent &it : events) {
        std::this_thread::sleep_until(start + it.at);
        std::cout << "EVENT " << it.action << std::endl;
    }
}

} // namespace

std::vector<RequestOutcome> runOpenLoop(const Experiment &experiment,
                                        const std::vector<PlannedRequest> &requests,
                                        const std::vector<Address> &gateways,
                                        const AccountKeys &keys)
{
    std::vector<RequestOutcome> outcomes(requests.size());
    std::atomic<std::size_t> next{0};
    const Instant start = Process::now() + startDelay;
    const auto runWorker = [&](std::size_t worker) {
        LoadClient client(gateways, worker);
        for (std::size_t i = next++; i < requests.size(); i = next++) {
            const PlannedRequest &request = requests[i];
            const Instant due = start + request.at;
            std::this_thread::sleep_until(due);
            const std::string path
                = request.isServiceCall() ? experiment.serviceCallPath : "/v1/completions";
            outcomes[i] = client.call(request, path, keys.at(request.account), due);
        }
    };
    std::vector<std::thread> threads;
    threads.emplace_back([&] { printEvents(experiment, start); });
    for (std::int64_t i = 0; i < experiment.concurrency; ++i)
        threads.emplace_back(runWorker, static_cast<std::size_t>(i));
    for (std::thread &it : threads)
        it.join();
    return outcomes;
}

} // namespace quetzalyoke
