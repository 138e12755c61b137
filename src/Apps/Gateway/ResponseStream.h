#ifndef QUETZALYOKE_APPS_GATEWAY_RESPONSESTREAM_H
#define QUETZALYOKE_APPS_GATEWAY_RESPONSESTREAM_H

#include "Apps/Gateway/AgentRegistry.h"
#include "Core/Requests/Refusal.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A response that is being received from an agent. Destroying it before its end cancels the
/// attempt.
class ResponseStream
{
public:
    /// \a firstProgress contains the response's headers and the data received with them.
    ResponseStream(AgentRegistry &agentRegistry, ChosenAgent agent,
                   const wire::Progress &firstProgress);
    ~ResponseStream();
    ResponseStream(const ResponseStream &) = delete;
    ResponseStream &operator=(const ResponseStream &) = delete;

    int status() const { return m_status; }
    const std::vector<wire::Header> &headers() const { return m_headers; }

    enum class Result {
        Data, ///< Bytes were added.
        NoData, ///< No bytes arrived within the wait time.
        End, ///< The response is complete.
        Broken, ///< The response will never be complete; see refusal().
    };
    /// Appends the next bytes to \a data and adds the number of tokens in them to \a tokens.
    Result read(std::string &data, Tokens &tokens);
    const Refusal &refusal() const { return m_refusal; }

private:
    bool fetch();
    Result appendProgress(std::string &data, Tokens &tokens);

    AgentRegistry &m_agentRegistry;
    const ChosenAgent m_agent;
    wire::Progress m_progress;
    bool m_hasUnreadProgress = true; // read() has not yet returned the data in m_progress
    std::int64_t m_offset = 0;
    std::int64_t m_tokens = 0;
    int m_status = 0;
    std::vector<wire::Header> m_headers;
    bool m_ended = false;
    Instant m_failingSince; // time of the first of consecutive failures
    bool m_failing = false;
    Refusal m_refusal;
};

/// Returns the reason that an agent gave for an attempt without a complete response.
Refusal refusalFrom(const wire::Progress &progress);

} // namespace quetzalyoke

#endif
