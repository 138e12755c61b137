#ifndef QUETZALYOKE_APPS_ENTRY_BACKENDMESSAGES_H
#define QUETZALYOKE_APPS_ENTRY_BACKENDMESSAGES_H

#include "Adapters/Async/HttpServerConnection.h"
#include "Ports/ServingProtocol.h"

namespace quetzalyoke {

/// Returns the HTTP message that sends \a request to a server.
std::string backendRequestText(const ServingProtocol &protocol, const HttpRequest &request,
                               const BackendRequestContext &context);

/// Returns whether a successful response can go on with a stream whose header the caller has.
bool isEventStream(int status, const boost::beast::http::fields &fields);

} // namespace quetzalyoke

#endif
