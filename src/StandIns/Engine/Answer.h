#ifndef QUETZALYOKE_STANDINS_ENGINE_ANSWER_H
#define QUETZALYOKE_STANDINS_ENGINE_ANSWER_H

#include "StandIns/Engine/Sequence.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace quetzalyoke::standins {

/// \brief Writes a sequence's words to one caller, streamed or whole.
class Answer
{
public:
    struct Form
    {
        bool chat = false;
        bool stream = false;
        bool cut = false; ///< Ends after half of the words.
        std::int64_t firstWord = 0;
        std::int64_t lastWord = 0;
    };

    Answer(std::shared_ptr<Sequence> sequence, const Form &form);

    /// Makes \a res send the answer; a caller that goes away cancels the sequence.
    static void send(const std::shared_ptr<Answer> &answer, httplib::Response &res);

private:
    /// Writes what is new; false ends the connection.
    bool write(httplib::DataSink &sink);
    bool writeEvents(httplib::DataSink &sink);
    bool writeWhole(httplib::DataSink &sink);
    std::string event(std::int64_t i) const;
    nlohmann::json usage() const;

    std::shared_ptr<Sequence> m_sequence;
    const Form m_form;
    std::int64_t m_sent;
};

} // namespace quetzalyoke::standins

#endif
