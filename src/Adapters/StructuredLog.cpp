#include "Adapters/StructuredLog.h"

#include "Adapters/Metrics.h"
#include "Core/Accounts/TokenBucket.h"
#include "Core/ExternalText.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace quetzalyoke {

namespace {

// Limit for lines that the writer thread has not written yet; a line takes a few hundred bytes.
constexpr std::size_t maxQueuedLines = 512;

// Lines per second and the burst allowed on top. A gateway's usual traffic stays below the limits;
// during a burst, lines are sampled.
constexpr TokensPerSecond routineRate(100);
constexpr Tokens routineBurst(200);
constexpr TokensPerSecond notableRate(300);
constexpr Tokens notableBurst(600);

// Part of a value that is written. The longest one of the gateways' own, a list of crash records,
// is shorter.
constexpr std::size_t maxValueBytes = 1000;

std::shared_ptr<spdlog::async_logger> logger;
std::string instanceName;
std::int64_t droppedCount = 0;

Instant logNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=") != std::string_view::npos;
}

// A value from a caller or a server must not add a line or make the log unreadable.
void appendValue(std::string &out, std::string_view text)
{
    const std::string value = readableText(text, maxValueBytes);
    if (!needsQuotes(value)) {
        out += value;
        return;
    }
    out += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    out += '"';
}

} // namespace

void StructuredLog::start(const InstanceId &instance)
{
    instanceName = instance.text();
    spdlog::init_thread_pool(maxQueuedLines, 1);
    logger = std::make_shared<spdlog::async_logger>(
        "decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
}

void StructuredLog::write(Kind kind, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logger)
        return;
    static TokenBucket routine(routineRate, routineBurst, logNow());
    static TokenBucket notable(notableRate, notableBurst, logNow());
    TokenBucket &bucket = kind == Kind::Routine ? routine : notable;
    if (!bucket.tryConsume(Tokens(1), logNow())) {
        ++droppedCount;
        Metrics::incrementCounter("log_lines_dropped");
        return;
    }
    std::string line = "instance=" + instanceName + " event=";
    line += event;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    if (droppedCount > 0) {
        line += " dropped=" + std::to_string(droppedCount);
        droppedCount = 0;
    }
    logger->info(line);
}

void StructuredLog::stop()
{
    if (!logger)
        return;
    logger->flush();
    logger.reset();
    spdlog::shutdown();
}

} // namespace quetzalyoke
