#include "Apps/Ctl/StatusCommand.h"

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr int indent = 2;

} // namespace

ExitCode printStatus(OperatorClient &client, std::ostream &out)
{
    Json all = Json::array();
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
        all.push_back(status);
    }
    out << all.dump(indent) << '\n';
    return code;
}

} // namespace quetzalyoke
