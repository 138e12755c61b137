#ifndef QUETZALYOKE_APPS_GATEWAY_RELAY_H
#define QUETZALYOKE_APPS_GATEWAY_RELAY_H

#include "Apps/Gateway/Fleet.h"
#include "Core/Refusal.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace quetzalyoke {

/// \brief A request that was let in.
struct Call
{
    RequestId id;
    AccountId account; ///< Empty on open routes.
    std::string target;
    std::string adapter;
    std::string method;
    std::string path; ///< With query, as the backend server gets it.
    std::vector<wire::Header> headers;
    std::string body;
    bool idempotent = true;
    bool model = true;
    Instant deadline;
    Tokens estimatedTokens;
    std::uint64_t prefix = 0; ///< Of the prompt; see prefixOf().
};

/// \brief An answer on its way from an agent; closing it early cancels the attempt.
class AnswerStream
{
public:
    AnswerStream(Fleet &fleet, ChosenAgent agent, const wire::Progress &first);
    ~AnswerStream();
    AnswerStream(const AnswerStream &) = delete;
    AnswerStream &operator=(const AnswerStream &) = delete;

    int status() const { return m_status; }
    const std::vector<wire::Header> &headers() const { return m_headers; }

    enum class Result {
        Data, ///< Bytes were added.
        Nothing, ///< None came within the wait.
        End, ///< The answer is whole.
        Broken, ///< It never will be; see refusal().
    };
    /// Adds the next bytes to \a data; \a tokens grows by the tokens in them.
    Result read(std::string &data, Tokens &tokens);
    const Refusal &refusal() const { return m_refusal; }

private:
    Result take(std::string &data, Tokens &tokens);
    bool fetch();

    Fleet &m_fleet;
    ChosenAgent m_agent;
    wire::Progress m_progress;
    bool m_fetched = true; // m_progress holds something that read() has not returned yet
    std::int64_t m_offset = 0;
    std::int64_t m_tokens = 0;
    int m_status = 0;
    std::vector<wire::Header> m_headers;
    bool m_ended = false;
    int m_failures = 0;
    Refusal m_refusal;
};

/// \brief Sends calls to agents and brings back their answers.
class Relay
{
public:
    Relay(const GatewaySettings &settings, Fleet &fleet);

    /// Runs \a call until the answer's headers are known, or gives the reason why there is none.
    std::variant<std::unique_ptr<AnswerStream>, Refusal> open(const Call &call);

private:
    struct Outcome
    {
        std::unique_ptr<AnswerStream> stream;
        Refusal refusal;
        bool tryAnother = false;
    };

    Outcome attempt(const Call &call, const ChosenAgent &agent);
    wire::Submission submissionFor(const Call &call) const;

    const GatewaySettings &m_settings;
    Fleet &m_fleet;
};

} // namespace quetzalyoke

#endif
