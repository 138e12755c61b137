#include "Adapters/HttpResponseCheck.h"

#include "Core/HttpSyntax.h"

#include <algorithm>
#include <httplib.h>
#include <strings.h>

namespace quetzalyoke {

bool isValidHttpResponse(const httplib::Response &response)
{
    const auto codings = response.headers.equal_range("Transfer-Encoding");
    const bool isFramingKnown = std::distance(codings.first, codings.second) <= 1
        && std::all_of(codings.first, codings.second, [](const auto &field) {
                                    return strcasecmp(field.second.c_str(), "chunked") == 0;
                                });
    return isHttpStatus(response.status) && isFramingKnown
        && std::all_of(response.headers.begin(), response.headers.end(),
                       [](const auto &field) { return isHttpFieldName(field.first); });
}

} // namespace quetzalyoke
