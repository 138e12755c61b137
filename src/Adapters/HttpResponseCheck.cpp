#include "Adapters/HttpResponseCheck.h"

#include "Core/HttpSyntax.h"

#include <algorithm>
#include <httplib.h>
#include <strings.h>

namespace quetzalyoke {

bool isValidHttpResponse(const httplib::Response &response)
{
    const auto isChunked
        = [](const auto &field) { return strcasecmp(field.second.c_str(), "chunked") == 0; };
    const auto isNamed = [](const auto &field) { return isHttpFieldName(field.first); };
    const auto [first, last] = response.headers.equal_range("Transfer-Encoding");
    return isHttpStatus(response.status)
        && std::all_of(response.headers.begin(), response.headers.end(), isNamed)
        && std::distance(first, last) <= 1 && std::all_of(first, last, isChunked);
}

} // namespace quetzalyoke
