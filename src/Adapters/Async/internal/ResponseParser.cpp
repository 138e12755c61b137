#include "Adapters/Async/internal/ResponseParser.h"

#include "Core/HttpSyntax.h"

#include <boost/beast/http/error.hpp>

namespace quetzalyoke::internal {

namespace {

// A field of a few bytes takes some hundred once it is parsed. Servers send some dozens.
constexpr int maxFields = 256;

} // namespace

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

void ResponseParser::on_field_impl(boost::beast::http::field name, Text text, Text value, Error &ec)
{
    // Trailers follow the body and must not change the fields of the header.
    if (is_header_done())
        return;
    if (++m_fieldCount > maxFields) {
        ec = boost::beast::http::error::header_limit;
        return;
    }
    m_fields.insert(name, text, value);
}

// The base class takes a body with another coding for one that ends with the connection or has the
// stated length.
void ResponseParser::on_header_impl(Error &ec)
{
    constexpr auto transferEncoding = boost::beast::http::field::transfer_encoding;
    const Text coding = m_fields[transferEncoding];
    if (m_fields.count(transferEncoding) > 1
        || (!coding.empty() && !boost::beast::iequals(coding, "chunked")))
        ec = boost::beast::http::error::bad_transfer_encoding;
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
