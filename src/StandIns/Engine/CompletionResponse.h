#ifndef QUETZALYOKE_STANDINS_ENGINE_COMPLETIONRESPONSE_H
#define QUETZALYOKE_STANDINS_ENGINE_COMPLETIONRESPONSE_H

#include "StandIns/Engine/Sequence.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace quetzalyoke::standins {

/// \brief Sends the tokens of a sequence to one caller, as a stream or as one body.
class CompletionResponse
{
public:
    struct Format
    {
        bool chat = false;
        bool stream = false;
        bool truncated = false; ///< Ends after half of the tokens.
        std::int64_t firstToken = 0;
        std::int64_t endToken = 0;
    };

    CompletionResponse(std::shared_ptr<Sequence> sequence, const Format &format);

    /// Sends \a response through \a res. The sequence is cancelled if the caller disconnects.
    static void send(const std::shared_ptr<CompletionResponse> &response, httplib::Response &res);

private:
    /// Writes the new tokens to \a sink. Returns false to end the connection.
    bool write(httplib::DataSink &sink);
    bool writeEvents(httplib::DataSink &sink);
    bool writeBody(httplib::DataSink &sink);
    std::string event(std::int64_t i) const;
    nlohmann::json usage() const;

    std::shared_ptr<Sequence> m_sequence;
    const Format m_format;
    std::int64_t m_sent;
};

} // namespace quetzalyoke::standins

#endif
