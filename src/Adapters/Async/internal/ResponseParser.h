#ifndef QUETZALYOKE_ADAPTERS_ASYNC_INTERNAL_RESPONSEPARSER_H
#define QUETZALYOKE_ADAPTERS_ASYNC_INTERNAL_RESPONSEPARSER_H

#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>

#include <functional>
#include <string_view>

namespace quetzalyoke::internal {

/// \brief Parses one HTTP response and passes its body on as it arrives.
class ResponseParser : public boost::beast::http::basic_parser<false>
{
public:
    explicit ResponseParser(std::function<void(std::string_view)> onBody);

    int status() const { return m_status; }
    const boost::beast::http::fields &fields() const { return m_fields; }

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, Error &) override { }
    void on_response_impl(int status, Text reason, int version, Error &ec) override;
    void on_field_impl(boost::beast::http::field name, Text text, Text value, Error &) override;
    void on_header_impl(Error &ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) override { }
    std::size_t on_body_impl(Text body, Error &) override;
    void on_chunk_header_impl(std::uint64_t, Text, Error &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, Error &) override;
    void on_finish_impl(Error &) override { }

    std::function<void(std::string_view)> m_onBody;
    int m_status = 0;
    int m_fieldCount = 0;
    boost::beast::http::fields m_fields;
};

} // namespace quetzalyoke::internal

#endif
