#include "Apps/Entry/BackendMessages.h"

namespace quetzalyoke {

std::string backendRequestText(const ServingProtocol &protocol, const HttpRequest &request,
                               const BackendRequestContext &context)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    protocol.writeBackendRequestHeaders(request.fields, context, text);
    if (!request.body.empty() || request.fields.count("Content-Length") > 0
        || request.fields.count("Transfer-Encoding") > 0)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

bool isEventStream(int status, const boost::beast::http::fields &fields)
{
    constexpr int httpOk = 200;
    const auto type = fields[boost::beast::http::field::content_type];
    return status == httpOk && (type.empty() || type.starts_with("text/event-stream"));
}

} // namespace quetzalyoke
