#ifndef QUETZALYOKE_STANDINS_ENGINE_COMPLETIONRESPONSE_H
#define QUETZALYOKE_STANDINS_ENGINE_COMPLETIONRESPONSE_H

#include "StandIns/Engine/Sequence.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace quetzalyoke::standins {

/// \brief Writes a sequence's words to one caller, streamed or whole.
class CompletionResponse
{
public:
    struct Format
    {
        bool chat = false;
        bool stream = false;
        bool truncated = false; ///< Ends after half of the words.
        std::int64_t firstToken = 0;
        std::int64_t endToken = 0;
    };

    CompletionResponse(std::shared_ptr<Sequence> sequence, const Format &form);

    /// Makes \a res send the answer; a caller that goes away cancels the sequence.
    static void send(const std::shared_ptr<CompletionResponse> &response, httplib::Response &res);

private:
    /// Writes what is new; false ends the connection.
    bool write(httplib::DataSink &sink);
    bool writeEvents(httplib::DataSink &sink);
    bool writeWhole(httplib::DataSink &sink);
    std::string event(std::int64_t i) const;
    nlohmann::json usage() const;

    std::shared_ptr<Sequence> m_sequence;
    const Format m_form;
    std::int64_t m_sent;
};

} // namespace quetzalyoke::standins

#endif
