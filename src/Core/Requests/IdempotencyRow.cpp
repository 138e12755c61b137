#include "Core/Requests/IdempotencyRow.h"

#include "Core/Error.h"
#include "Core/JsonText.h"

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

IdempotencyRow::State parseState(const std::string &text)
{
    if (text == "running")
        return IdempotencyRow::State::Running;
    return text == "done" ? IdempotencyRow::State::Done : IdempotencyRow::State::Unknown;
}

// Bodies may contain any bytes, but JSON strings must be valid UTF-8.
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

WallTime wallTimeFromMillis(std::int64_t millis)
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
    return dumpJson(json);
}

IdempotencyRow IdempotencyRow::fromJson(const std::string &json)
{
    const Json body = Json::parse(json, nullptr, false);
    if (!body.is_object())
        throw Error(ErrorKind::MalformedData,
                    "an idempotency row is not a JSON object; restore the table");
    IdempotencyRow row;
    row.state = parseState(body.value("state", ""));
    row.attempt = AttemptId(body.value("attempt", ""));
    row.fingerprint = Fingerprint(body.value("fingerprint", ""));
    row.agentAddress = body.value("agent", "");
    row.agentIncarnation = Incarnation(body.value("agent_incarnation", std::int64_t(0)));
    row.ownerDeadline = wallTimeFromMillis(body.value("owner_ends_ms", std::int64_t(0)));
    row.expiresAt = wallTimeFromMillis(body.value("expires_ms", std::int64_t(0)));
    if (row.state == State::Done) {
        const Json &response = body.at("answer");
        row.response.status = response.at("status");
        row.response.headers = response.at("headers");
        row.response.body = fromHex(response.at("body"));
        row.response.bodyDropped = response.at("body_dropped");
    }
    return row;
}

RepeatDecision decideRepeat(const IdempotencyRow &row, const Fingerprint &fingerprint,
                            const AttemptId &ownAttempt, WallTime now)
{
    if (row.attempt == ownAttempt)
        return RepeatDecision::OwnRow;
    if (row.fingerprint != fingerprint)
        return RepeatDecision::KeyReused;
    if (row.state == IdempotencyRow::State::Done)
        return RepeatDecision::Replay;
    const bool ownerExpired = now > row.ownerDeadline;
    if (row.state == IdempotencyRow::State::Unknown || ownerExpired)
        return RepeatDecision::OutcomeUnknown;
    return RepeatDecision::InProgress;
}

} // namespace quetzalyoke
