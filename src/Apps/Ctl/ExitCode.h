#ifndef QUETZALYOKE_APPS_CTL_EXITCODE_H
#define QUETZALYOKE_APPS_CTL_EXITCODE_H

#include "Core/Error.h"

namespace quetzalyoke {

/// \brief Exit codes of quetzalyokectl, for scripts.
enum class ExitCode {
    Done = 0,
    Refused = 1, ///< The gateway refused, or the service list is invalid; nothing was changed.
    BadUsage = 2, ///< The command line, the credential or a file is wrong; nothing was changed.
    GatewayUnavailable = 3, ///< No gateway was reachable or accepted the call; nothing was changed.
    OutcomeUnknown = 4, ///< A change was sent, but its response was lost.
    Conflict = 5, ///< Somebody else made a change first; look again before retrying.
    Differs = 6, ///< `diff` found differences.
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
