#ifndef QUETZALYOKE_ADAPTERS_HTTPRESPONSECHECK_H
#define QUETZALYOKE_ADAPTERS_HTTPRESPONSECHECK_H

namespace httplib {
struct Response;
} // namespace httplib

namespace quetzalyoke {

/// Returns whether the status, the field names and the transfer coding of \a response, which
/// httplib doesn't check, are those of an HTTP response that this process can read. The framing of
/// any other isn't known, so its body means nothing.
bool isValidHttpResponse(const httplib::Response &response);

} // namespace quetzalyoke

#endif
