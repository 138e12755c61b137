#ifndef QUETZALYOKE_ADAPTERS_STRUCTUREDLOG_H
#define QUETZALYOKE_ADAPTERS_STRUCTUREDLOG_H

#include "Core/StrongTypes.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace quetzalyoke {

/// \brief A `name=value` field of a log line.
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
    /// Writes \a duration in milliseconds.
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

/// \brief Writes structured log lines to standard output, one for each decision.
///
/// Lines pass through a bounded queue to a writer thread, so that a slow reader of the log blocks
/// no other thread. Lines over the rate are dropped and counted in metrics and in the next line's
/// `dropped`; a full queue drops its oldest line.
class StructuredLog
{
public:
    enum class Kind {
        Routine, ///< The normal course of a request; sampled during a burst.
        Notable, ///< Refusals, failures and changes of assumed state; sampled above a higher rate.
    };

    /// Starts the writer thread; every line contains \a instance.
    static void start(const InstanceId &instance);
    /// Writes a line with \a event and \a fields; does nothing before start().
    static void write(Kind kind, std::string_view event, std::initializer_list<LogField> fields);
    /// Writes the queued lines and ends the writer thread.
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
