#include "Adapters/Async/internal/ResponseParser.h"

#include "Core/HttpSyntax.h"

#include <boost/beast/http/error.hpp>

namespace quetzalyoke::internal {

ResponseParser::ResponseParser(std::function<void(std::string_view)> onBody)
    : m_onBody(std::move(onBody))
{ }

// The base class accepts any three digits, and takes those below 100 for a response with a body.
void ResponseParser::on_response_impl(int status, Text, int, Error &ec)
{
    m_status = status;
    if (!isHttpStatus(status))
        ec = boost::beast::http::error::bad_status;
}

void ResponseParser::on_field_impl(boost::beast::http::field name, Text text, Text value, Error &)
{
    // Trailers follow the body and must not change the fields of the header.
    if (is_header_done())
        return;
    m_fields.insert(name, text, value);
}

std::size_t ResponseParser::on_body_impl(Text body, Error &)
{
    m_onBody({body.data(), body.size()});
    return body.size();
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, Text body, Error &)
{
    m_onBody({body.data(), body.size()});
    return body.size();
}

} // namespace quetzalyoke::internal
