#include "Core/Requests/IdempotencyRecord.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

const char *stateText(IdempotencyRecord::State state)
{
    switch (state) {
    case IdempotencyRecord::State::Running:
        return "running";
    case IdempotencyRecord::State::Done:
        return "done";
    case IdempotencyRecord::State::Unknown:
        break;
    }
    return "unknown";
}

IdempotencyRecord::State stateFrom(const std::string &text)
{
    if (text == "running")
        return IdempotencyRecord::State::Running;
    return text == "done" ? IdempotencyRecord::State::Done : IdempotencyRecord::State::Unknown;
}

// Bodies may hold any bytes, which JSON text may not.
std::string toHex(const std::string &bytes)
{
    static const char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string fromHex(const std::string &text)
{
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    return bytes;
}

WallTime wallTime(std::int64_t millis)
{
    return WallTime(std::chrono::milliseconds(millis));
}

} // namespace

std::string IdempotencyRecord::toJson() const
{
    Json json{{"state", stateText(state)},
              {"attempt", attempt.text()},
              {"fingerprint", fingerprint.text()},
              {"agent", agentAddress},
              {"agent_incarnation", agentIncarnation.count()},
              {"owner_ends_ms", ownerEnds.time_since_epoch().count()},
              {"expires_ms", expires.time_since_epoch().count()}};
    if (state == State::Done) {
        json["answer"] = {{"status", answer.status},
                          {"headers", answer.headers},
                          {"body", toHex(answer.body)},
                          {"body_dropped", answer.bodyDropped}};
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

IdempotencyRecord IdempotencyRecord::fromJson(const std::string &json)
{
    const Json body = Json::parse(json, nullptr, false);
    if (!body.is_object())
        throw Error(ErrorKind::BadAnswer, "an idempotency row holds no JSON; restore the table");
    IdempotencyRecord record;
    record.state = stateFrom(body.value("state", ""));
    record.attempt = AttemptId(body.value("attempt", ""));
    record.fingerprint = Fingerprint(body.value("fingerprint", ""));
    record.agentAddress = body.value("agent", "");
    record.agentIncarnation = Incarnation(body.value("agent_incarnation", std::int64_t(0)));
    record.ownerEnds = wallTime(body.value("owner_ends_ms", std::int64_t(0)));
    record.expires = wallTime(body.value("expires_ms", std::int64_t(0)));
    if (record.state == State::Done) {
        const Json &answer = body.at("answer");
        record.answer.status = answer.at("status");
        record.answer.headers = answer.at("headers");
        record.answer.body = fromHex(answer.at("body"));
        record.answer.bodyDropped = answer.at("body_dropped");
    }
    return record;
}

RepeatDecision decideRepeat(const IdempotencyRecord &record, const Fingerprint &fingerprint,
                            const AttemptId &own, WallTime now)
{
    if (record.attempt == own)
        return RepeatDecision::Mine;
    if (record.fingerprint != fingerprint)
        return RepeatDecision::KeyReused;
    if (record.state == IdempotencyRecord::State::Done)
        return RepeatDecision::Replay;
    const bool ownerIsGone = now > record.ownerEnds;
    if (record.state == IdempotencyRecord::State::Unknown || ownerIsGone)
        return RepeatDecision::Unknown;
    return RepeatDecision::InProgress;
}

} // namespace quetzalyoke
