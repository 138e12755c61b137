#ifndef QUETZALYOKE_APPS_GATEWAY_RESPONSESTREAM_H
#define QUETZALYOKE_APPS_GATEWAY_RESPONSESTREAM_H

#include "Apps/Gateway/AgentRegistry.h"
#include "Core/Requests/Refusal.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief An answer on its way from an agent; destroying it before its end cancels the attempt.
class ResponseStream
{
public:
    /// \a first has the answer's headers, and what came with them.
    ResponseStream(AgentRegistry &fleet, ChosenAgent agent, const wire::Progress &first);
    ~ResponseStream();
    ResponseStream(const ResponseStream &) = delete;
    ResponseStream &operator=(const ResponseStream &) = delete;

    int status() const { return m_status; }
    const std::vector<wire::Header> &headers() const { return m_headers; }

    enum class Result {
        Data, ///< Bytes were added.
        NoData, ///< None came within the wait.
        End, ///< The answer is whole.
        Broken, ///< It never will be; see refusal().
    };
    /// Adds the next bytes to \a data; \a tokens grows by the tokens in them.
    Result read(std::string &data, Tokens &tokens);
    const Refusal &refusal() const { return m_refusal; }

private:
    bool fetch();
    Result appendProgress(std::string &data, Tokens &tokens);

    AgentRegistry &m_agentRegistry;
    const ChosenAgent m_agent;
    wire::Progress m_progress;
    bool m_hasUnreadProgress = true; // m_progress holds something that read() has not returned yet
    std::int64_t m_offset = 0;
    std::int64_t m_tokens = 0;
    int m_status = 0;
    std::vector<wire::Header> m_headers;
    bool m_ended = false;
    Instant m_failingSince; // of the first of the failures in a row
    bool m_failing = false;
    Refusal m_refusal;
};

/// The reason that an agent gave for an attempt without a whole answer.
Refusal refusalFrom(const wire::Progress &progress);

} // namespace quetzalyoke

#endif
