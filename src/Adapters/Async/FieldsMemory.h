#ifndef QUETZALYOKE_ADAPTERS_ASYNC_FIELDSMEMORY_H
#define QUETZALYOKE_ADAPTERS_ASYNC_FIELDSMEMORY_H

#include <utility>

#include <boost/beast/http/fields.hpp>

namespace quetzalyoke {

/// Returns the memory that the parsed header \a fields takes.
inline std::size_t fieldsBytes(const boost::beast::http::fields &fields)
{
    // What the parser needs for a field beside its text.
    constexpr std::size_t overheadBytes = 128;
    std::size_t n = 0;
    for (const auto &field : fields)
        n += field.name_string().size() + field.value().size() + overheadBytes;
    return n;
}

} // namespace quetzalyoke

#endif
