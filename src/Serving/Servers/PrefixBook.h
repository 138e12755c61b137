#ifndef QUETZALYOKE_SERVING_SERVERS_PREFIXBOOK_H
#define QUETZALYOKE_SERVING_SERVERS_PREFIXBOOK_H

#include "Serving/Requests/CallDescription.h"

#include <list>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Hashes of the prompt's beginnings: entry i covers parts 0 to i and the weights.
std::vector<std::uint64_t> prefixChain(const CallDescription &call);

/// \brief Which beginnings of prompts a server has read lately, as far as this gateway sent them.
///
/// The least recently used go first once they exceed the server's memory.
class PrefixBook
{
public:
    explicit PrefixBook(std::int64_t capacityTokens) : m_capacity(capacityTokens) { }

    /// Tokens at the beginning of the prompt that need not be read again.
    std::int64_t cachedTokens(const CallDescription &call,
                              const std::vector<std::uint64_t> &chain) const;
    /// The server has read, or is about to read, all parts of the prompt.
    void add(const CallDescription &call, const std::vector<std::uint64_t> &chain);

private:
    struct Entry
    {
        std::uint64_t hash;
        std::int64_t tokens;
    };

    const std::int64_t m_capacity;
    std::int64_t m_held = 0;
    std::list<Entry> m_recent; // latest first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
};

} // namespace quetzalyoke

#endif
