#ifndef QUETZALYOKE_APPS_CTL_EXITCODE_H
#define QUETZALYOKE_APPS_CTL_EXITCODE_H

#include "Core/Error.h"

namespace quetzalyoke {

/// \brief Exit codes of quetzalyokectl, for scripts.
enum class ExitCode {
    Done = 0,
    Refused = 1, ///< The gateway refused, or the service list has mistakes; nothing happened.
    BadUsage = 2, ///< Command line, credential or a file is wrong; nothing was sent.
    GatewayUnavailable = 3, ///< No gateway could be reached or accept; nothing happened.
    OutcomeUnknown = 4, ///< A change was sent and its answer was lost.
    Conflict = 5, ///< Somebody else changed it first; look again.
    Differs = 6, ///< `diff` found changes.
};

inline ExitCode exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadSettings:
    case ErrorKind::NotAuthenticated:
        return ExitCode::BadUsage;
    case ErrorKind::PeerUnavailable:
    case ErrorKind::PlatformUnavailable:
        return ExitCode::GatewayUnavailable;
    case ErrorKind::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::NotFound:
    case ErrorKind::MalformedData:
        break;
    }
    return ExitCode::Refused;
}

} // namespace quetzalyoke

#endif
