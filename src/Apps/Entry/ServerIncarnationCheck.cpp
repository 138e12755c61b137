#include "Apps/Entry/ServerIncarnationCheck.h"

namespace quetzalyoke {

namespace {

constexpr int statusOk = 200;

// An engine with some hundred adapters tells its status in a few kilobytes.
constexpr std::size_t maxStatusBytes = 262'144;

struct StatusResponse
{
    int status = 0;
    std::string body;
};

} // namespace

void checkServerIncarnation(const ServingProtocol &protocol, const std::string &address,
                            const std::shared_ptr<HttpClientConnection> &connection,
                            std::function<bool()> maySend,
                            std::function<void(ExchangeOutcome, std::optional<Incarnation>)> done)
{
    const auto response = std::make_shared<StatusResponse>();
    ExchangeHooks hooks;
    hooks.maySend = std::move(maySend);
    hooks.onHeader = [response](int status, const auto &) {
        response->status = status;
        return ExchangeHooks::HeaderDecision::Accept;
    };
    hooks.onBody = [response](std::string_view data) {
        // A longer body is no status.
        if (response->body.size() <= maxStatusBytes)
            response->body.append(data);
    };
    hooks.onEnd
        = [&protocol, connection, response, done = std::move(done)](ExchangeOutcome outcome) {
              std::optional<Incarnation> found;
              if (outcome == ExchangeOutcome::Complete && response->status == statusOk) {
                  if (const auto status = protocol.parseEngineStatus(response->body))
                      found = status->incarnation;
              }
              if (found)
                  connection->setPeerIncarnation(*found);
              done(outcome, found);
          };
    connection->send(protocol.engineStatusRequest(address), false, std::move(hooks));
}

} // namespace quetzalyoke
