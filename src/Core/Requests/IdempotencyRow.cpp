#include "Core/Requests/IdempotencyRow.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

const char *stateText(IdempotencyRow::State state)
{
    switch (state) {
    case IdempotencyRow::State::Running:
        return "running";
    case IdempotencyRow::State::Done:
        return "done";
    case IdempotencyRow::State::Unknown:
        break;
    }
    return "unknown";
}

IdempotencyRow::State stateFrom(const std::string &text)
{
    if (text == "running")
        return IdempotencyRow::State::Running;
    return text == "done" ? IdempotencyRow::State::Done : IdempotencyRow::State::Unknown;
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

std::string IdempotencyRow::toJson() const
{
    Json json{{"state", stateText(state)},
              {"attempt", attempt.text()},
              {"fingerprint", fingerprint.text()},
              {"agent", agentAddress},
              {"agent_incarnation", agentIncarnation.count()},
              {"owner_ends_ms", ownerDeadline.time_since_epoch().count()},
              {"expires_ms", expiresAt.time_since_epoch().count()}};
    if (state == State::Done) {
        json["answer"] = {{"status", response.status},
                          {"headers", response.headers},
                          {"body", toHex(response.body)},
                          {"body_dropped", response.bodyDropped}};
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

IdempotencyRow IdempotencyRow::fromJson(const std::string &json)
{
    const Json body = Json::parse(json, nullptr, false);
    if (!body.is_object())
        throw Error(ErrorKind::MalformedData,
                    "an idempotency row holds no JSON; restore the table");
    IdempotencyRow record;
    record.state = stateFrom(body.value("state", ""));
    record.attempt = AttemptId(body.value("attempt", ""));
    record.fingerprint = Fingerprint(body.value("fingerprint", ""));
    record.agentAddress = body.value("agent", "");
    record.agentIncarnation = Incarnation(body.value("agent_incarnation", std::int64_t(0)));
    record.ownerDeadline = wallTime(body.value("owner_ends_ms", std::int64_t(0)));
    record.expiresAt = wallTime(body.value("expires_ms", std::int64_t(0)));
    if (record.state == State::Done) {
        const Json &response = body.at("answer");
        record.response.status = response.at("status");
        record.response.headers = response.at("headers");
        record.response.body = fromHex(response.at("body"));
        record.response.bodyDropped = response.at("body_dropped");
    }
    return record;
}

RepeatDecision decideRepeat(const IdempotencyRow &record, const Fingerprint &fingerprint,
                            const AttemptId &own, WallTime now)
{
    if (record.attempt == own)
        return RepeatDecision::OwnRow;
    if (record.fingerprint != fingerprint)
        return RepeatDecision::KeyReused;
    if (record.state == IdempotencyRow::State::Done)
        return RepeatDecision::Replay;
    const bool ownerIsGone = now > record.ownerDeadline;
    if (record.state == IdempotencyRow::State::Unknown || ownerIsGone)
        return RepeatDecision::OutcomeUnknown;
    return RepeatDecision::InProgress;
}

} // namespace quetzalyoke
