#ifndef QUETZALYOKE_PORTS_SERVINGPROTOCOL_H
#define QUETZALYOKE_PORTS_SERVINGPROTOCOL_H

#include "Serving/Requests/RequestMetadata.h"
#include "Serving/Servers/BackendServer.h"
#include "Serving/Servers/RequestRate.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace quetzalyoke {

using HeaderFields = boost::beast::http::fields;

/// \brief Information that this system adds to a request to a backend server.
struct BackendRequestContext
{
    ServerName server; ///< Any other server must refuse the request.
    AccountId account; ///< Empty on routes without authentication.
    Milliseconds timeLeft{0}; ///< Until the deadline.
    std::optional<int> priority; ///< 0 to 9; 0 is admitted first.
    std::string lastEventId; ///< Id of the last event that the caller received; empty to start
                             ///< from the beginning.
};

/// \brief Number of requests at a backend server when it sent the response.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    /// How long work takes there now, in percent of the usual time, if the server states it.
    std::optional<double> pacePercent = {};

    bool operator==(const ReportedLoad &) const = default;
};

/// \brief Information in the headers of a backend server's response.
struct BackendResponseInfo
{
    bool isForOtherRequest = false; ///< The response belongs to another request.
    bool namesRequest = false; ///< The response states the id of this request.
    bool isSigned = false; ///< Contains the proof that a backend server created it.
    bool isEncoded = false; ///< The body is encoded, not as the server created it.
    bool notRun = false; ///< The server states that it did not run the request.
    bool isLeaving = false; ///< The server states that it accepts no new requests.
    std::optional<ReportedLoad> load;
    std::optional<Milliseconds> backoff; ///< For how long this instance must send no requests.
    bool hasInvalidBackoff = false; ///< The response states a backoff that can't be parsed.
    /// Requests that the server accepts from all gateways together, for as long as it states this.
    std::optional<RequestRate> requestLimit;
    bool hasInvalidRequestLimit = false; ///< The response states a limit that can't be parsed.
    /// A successful response of the server that the request names: a limit that it doesn't state is
    /// in force no more.
    bool mayEndRequestLimit = false;
    std::optional<Milliseconds> coldTime; ///< How much longer the server stays cold; 0: it is warm.
    bool hasInvalidColdTime = false; ///< The response states a time that isn't usable.
};

/// \brief An order to an engine with the conditions that prevent its execution a second time.
struct ConditionalEngineOrder
{
    enum class Kind { Load, Unload };

    Kind kind = Kind::Load;
    ServerName server;
    ModelName model;
    AdapterName adapter; ///< Empty for the model itself.
    /// The order is executed only if the engine has accepted this many orders.
    std::int64_t expectedOrderCount = 0;
    std::string holder; ///< The lease holder.
    std::int64_t fencingToken = 0;
};

/// \brief The HTTP headers and bodies exchanged with callers, backend servers and engines.
class ServingProtocol
{
public:
    virtual ~ServingProtocol() = default;

    /// Returns nothing if the headers contradict each other; \a problem is then set to the reason.
    virtual std::optional<RequestMetadata> parseRequestHeaders(const HeaderFields &fields,
                                                               std::string &problem) const = 0;
    /// Writes the headers of a caller's request as sent to a backend server, without framing
    /// headers.
    virtual void writeBackendRequestHeaders(const HeaderFields &caller,
                                            const BackendRequestContext &context,
                                            std::string &out) const = 0;
    /// Parses the headers of a backend server's response to the request \a id.
    virtual BackendResponseInfo parseResponseHeaders(int status, const HeaderFields &fields,
                                                     const RequestId &id) const = 0;
    /// Parses the headers of an engine's response to an order or a status request.
    virtual BackendResponseInfo parseEngineResponseHeaders(int status,
                                                           const HeaderFields &fields) const = 0;
    /// Writes the headers of a backend server's response as sent to the caller, without framing
    /// headers.
    virtual void writeCallerResponseHeaders(const HeaderFields &backend,
                                            std::string &out) const = 0;
    /// Writes the headers of a response that this system creates itself.
    virtual void writeOwnResponseHeaders(const RequestId &id,
                                         std::optional<Milliseconds> retryAfter,
                                         std::string &out) const = 0;

    /// Returns head and body of the HTTP request for \a order.
    virtual std::string engineOrderRequest(const ConditionalEngineOrder &order,
                                           const std::string &host) const = 0;
    /// Returns the HTTP request for an engine's status.
    virtual std::string engineStatusRequest(const std::string &host) const = 0;
    /// Returns nothing if \a body can't be parsed.
    virtual std::optional<EngineStatus> parseEngineStatus(const std::string &body) const = 0;
    /// Returns the path at which the platform checks whether this instance accepts connections.
    virtual std::string readinessPath() const = 0;
};

} // namespace quetzalyoke

#endif
