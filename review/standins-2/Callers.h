// Callers of the gateways and the count of what became of their requests.
#ifndef REVIEW_STANDINS_CALLERS_H
#define REVIEW_STANDINS_CALLERS_H

#include "Rig.h"

#include <random>

namespace review {

struct Answer
{
    int status = 0; // 0: the channel ended, or the caller gave up, without a whole answer
    bool isComplete = false;
    bool gaveUp = false;
    Message message;
};

// One caller with a channel that it keeps for many requests.
class Caller
{
public:
    explicit Caller(std::string name) : m_name(std::move(name)) { }

    // Returns whether the channel was open already, from earlier requests.
    bool isKept() const { return m_channel && m_channel->isOpen() && m_answered > 0; }
    bool connect(int port);
    void leave() { m_channel.reset(); }
    std::string nextId() { return m_name + "-" + std::to_string(++m_number); }
    // Sends a request and waits for the answer; `fields` are further header lines.
    Answer ask(const std::string &id, const std::string &method, const std::string &target,
               const std::string &fields, const std::string &body, std::int64_t deadlineMs);
    Channel *channel() { return m_channel.get(); }

private:
    const std::string m_name;
    std::unique_ptr<Channel> m_channel;
    int m_answered = 0;
    int m_number = 0;
};

inline bool Caller::connect(int port)
{
    m_channel.reset();
    m_answered = 0;
    const int fd = connectTo(port);
    if (fd < 0)
        return false;
    m_channel = std::make_unique<Channel>(fd);
    return true;
}

inline Answer Caller::ask(const std::string &id, const std::string &method,
                          const std::string &target, const std::string &fields,
                          const std::string &body, std::int64_t deadlineMs)
{
    Answer answer;
    const std::int64_t until = nowMs() + deadlineMs;
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: "
        + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nApi-Key: " + apiKey + "\r\n"
        + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (!m_channel->send(text) || (!body.empty() && !m_channel->send(body))) {
        // The gateway may have answered before the body was in.
    }
    auto head = m_channel->readHead(until);
    while (head && head->status == 100)
        head = m_channel->readHead(until);
    if (!head) {
        answer.gaveUp = m_channel->timedOut();
        leave();
        return answer;
    }
    answer.status = head->status;
    answer.isComplete = m_channel->readBody(*head, until);
    answer.gaveUp = !answer.isComplete && m_channel->timedOut();
    const bool closes = strcasecmp(head->get("Connection").c_str(), "close") == 0;
    answer.message = std::move(*head);
    if (!answer.isComplete || closes)
        leave();
    else
        ++m_answered;
    return answer;
}

} // namespace review

#endif
