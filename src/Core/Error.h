#ifndef QUETZALYOKE_CORE_ERROR_H
#define QUETZALYOKE_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace quetzalyoke {

enum class ErrorKind {
    BadSettings, ///< A settings file or the service list is wrong.
    PlatformUnavailable, ///< The platform's service did not take the call; nothing happened.
    OutcomeUnknown, ///< The call may have taken effect.
    Conflict, ///< A condition of a write did not hold.
    NotFound, ///< What the call names does not exist.
    NotAuthenticated, ///< Wrong or missing credential.
    PeerUnavailable, ///< Another process of the system can't be reached.
    MalformedData, ///< An answer broke its protocol.
};

/// \brief An error of a typed kind. The message names the remedy.
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
