#ifndef QUETZALYOKE_PORTS_SERVINGPROTOCOL_H
#define QUETZALYOKE_PORTS_SERVINGPROTOCOL_H

#include "Serving/Requests/RequestMetadata.h"
#include "Serving/Servers/BackendServer.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace quetzalyoke {

using HeaderFields = boost::beast::http::fields;

/// \brief What this system adds to a request on its way to a backend server.
struct BackendRequestContext
{
    ServerName server; ///< Any other server must turn the request down.
    AccountId account; ///< Empty on open routes.
    Milliseconds timeLeft{0};
    std::optional<int> priority; ///< 0 to 9, 0 is admitted first.
    std::string lastEventId; ///< Id of the last event that the caller has; empty: from the start.
};

/// \brief Requests at a backend server when it answered.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;

    bool operator==(const ReportedLoad &) const = default;
};

/// \brief What a backend server's answer says besides its status and body.
struct BackendResponseInfo
{
    bool isForOtherRequest = false; ///< Answers another request.
    bool isSigned = false; ///< Carries the proof that a server made it.
    bool isEncoded = false; ///< The body is not what the server made.
    bool notRun = false; ///< The server states that it did not run the request.
    bool isLeaving = false; ///< The server states that it takes no new work.
    std::optional<ReportedLoad> load;
    std::optional<Milliseconds> backoff; ///< How long the server wants nothing from this instance.
    bool hasInvalidBackoff = false; ///< A pause is stated that can't be read.
};

/// \brief An order to an engine and what makes it unrepeatable.
struct ConditionalEngineOrder
{
    enum class Kind { Load, Unload };

    Kind kind = Kind::Load;
    ServerName server;
    ModelName model;
    AdapterName adapter; ///< Empty: the model itself.
    std::int64_t expectedOrderCount = 0; ///< Carried out only if the engine has accepted this many.
    std::string holder;
    std::int64_t fencingToken = 0;
};

/// \brief How callers, this system and backend servers spell the same things in HTTP.
class ServingProtocol
{
public:
    virtual ~ServingProtocol() = default;

    /// Nothing where the headers contradict themselves; then \a problem says why.
    virtual std::optional<RequestMetadata> parseRequestHeaders(const HeaderFields &fields,
                                                               std::string &problem) const = 0;
    /// Headers of a caller's request as a backend server gets them, without framing.
    virtual void writeBackendRequestHeaders(const HeaderFields &caller,
                                            const BackendRequestContext &call,
                                            std::string &out) const = 0;
    virtual BackendResponseInfo parseResponseHeaders(int status, const HeaderFields &fields,
                                                     const RequestId &id) const = 0;
    /// What an engine's answer to an order or a status request says of the engine itself.
    virtual BackendResponseInfo parseEngineResponseHeaders(int status,
                                                           const HeaderFields &fields) const = 0;
    /// Headers of a backend server's answer as the caller gets them, without framing.
    virtual void writeCallerResponseHeaders(const HeaderFields &backend,
                                            std::string &out) const = 0;
    /// Headers of an answer of this system's own.
    virtual void writeOwnResponseHeaders(const RequestId &id,
                                         std::optional<Milliseconds> retryAfter,
                                         std::string &out) const = 0;

    /// Head and body of an HTTP request that carries \a command.
    virtual std::string engineOrderRequest(const ConditionalEngineOrder &command,
                                           const std::string &host) const = 0;
    /// An HTTP request for an engine's status.
    virtual std::string engineStatusRequest(const std::string &host) const = 0;
    /// Nothing where \a body can't be read.
    virtual std::optional<EngineStatus> parseEngineStatus(const std::string &body) const = 0;
    /// Path at which the platform asks whether this instance takes connections.
    virtual std::string readinessPath() const = 0;
};

} // namespace quetzalyoke

#endif
