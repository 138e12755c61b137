#include "Apps/Ctl/StatusCommand.h"

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr int indent = 2;

} // namespace

ExitCode printStatus(OperatorClient &client, std::ostream &out)
{
    Json statuses = Json::array();
    ExitCode code = ExitCode::Done;
    for (const Address &it : client.gateways()) {
        Json status;
        try {
            status = client.getFrom(it, "/operator/status");
        } catch (const Error &e) {
            status["error"] = e.what();
            code = exitCodeFor(e.kind());
        }
        status["gateway"] = it.text();
        statuses.push_back(status);
    }
    out << statuses.dump(indent) << '\n';
    return code;
}

} // namespace quetzalyoke
