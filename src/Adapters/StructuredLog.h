#ifndef QUETZALYOKE_ADAPTERS_STRUCTUREDLOG_H
#define QUETZALYOKE_ADAPTERS_STRUCTUREDLOG_H

#include "Core/StrongTypes.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace quetzalyoke {

/// \brief One `name=value` of a log line.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, const char *text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, const std::string &text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, std::int64_t n) : name(fieldName), value(std::to_string(n))
    { }
    LogField(std::string_view fieldName, int n) : name(fieldName), value(std::to_string(n)) { }
    LogField(std::string_view fieldName, std::size_t n) : name(fieldName), value(std::to_string(n))
    { }
    /// Milliseconds.
    LogField(std::string_view fieldName, Duration duration)
        : name(fieldName), value(std::to_string(duration.count() / 1000))
    { }
    template<typename Tag>
    LogField(std::string_view fieldName, const StrongId<Tag> &id)
        : name(fieldName), value(id.text())
    { }
    template<typename Tag>
    LogField(std::string_view fieldName, const Quantity<Tag> &n)
        : name(fieldName), value(std::to_string(n.count()))
    { }

    std::string_view name;
    std::string value;
};

/// \brief Structured log lines on standard output, one for each decision.
///
/// Lines go through a bounded queue to a writer thread, so that nothing waits for the reader of
/// the log; what doesn't fit is dropped and counted in metrics and in the next line's `dropped`.
class StructuredLog
{
public:
    enum class Kind {
        Routine, ///< The usual course of a request; sampled when there are many.
        Notable, ///< Refusals, failures, changes of belief: always, as far as the queue allows.
    };

    /// Starts the writer; \a instance is part of every line.
    static void start(const InstanceId &instance);
    static void write(Kind kind, std::string_view event, std::initializer_list<LogField> fields);
    /// Writes out what is queued.
    static void stop();
};

inline void logRoutine(std::string_view event, std::initializer_list<LogField> fields)
{
    StructuredLog::write(StructuredLog::Kind::Routine, event, fields);
}

inline void logNotable(std::string_view event, std::initializer_list<LogField> fields)
{
    StructuredLog::write(StructuredLog::Kind::Notable, event, fields);
}

} // namespace quetzalyoke

#endif
