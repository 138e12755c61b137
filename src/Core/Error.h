#ifndef QUETZALYOKE_CORE_ERROR_H
#define QUETZALYOKE_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace quetzalyoke {

enum class ErrorKind {
    BadSettings, ///< A settings file or the service list is invalid.
    PlatformUnavailable, ///< The platform's service did not accept the call, which had no effect.
    OutcomeUnknown, ///< The call may have taken effect.
    Conflict, ///< A condition of a write did not hold.
    NotFound, ///< The object named by the call does not exist.
    NotAuthenticated, ///< The credential is wrong or missing.
    PeerUnavailable, ///< Another process of the system can't be reached.
    MalformedData, ///< A response or stored row violates its format.
};

/// \brief An error of a given kind, whose message says what to do about it.
class Error : public std::runtime_error
{
public:
    Error(ErrorKind kind, const std::string &message)
        : std::runtime_error(message), m_kind(kind) { }

    ErrorKind kind() const { return m_kind; }

private:
    ErrorKind m_kind;
};

} // namespace quetzalyoke

#endif
