#include "Adapters/Address.h"
#include "Adapters/Process.h"
#include "Core/Error.h"
#include "Core/ServiceListCheck.h"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <iostream>

using namespace quetzalyoke;

namespace {

using Json = nlohmann::json;

constexpr int exitRefused = 1;
constexpr int exitBadInput = 2;

// Calls one gateway's operators' API.
class OperatorClient
{
public:
    OperatorClient(const std::string &gateway, const std::string &secretFile)
        : m_address(Address::parse(gateway)), m_client(m_address.host, m_address.port)
    {
        m_client.set_bearer_token_auth(Process::readFile(secretFile));
    }

    Json get(const std::string &path) { return unwrap(m_client.Get(path)); }
    Json put(const std::string &path, const std::string &body)
    {
        return unwrap(m_client.Put(path, body, "text/plain"));
    }
    Json post(const std::string &path) { return unwrap(m_client.Post(path)); }
    Json remove(const std::string &path) { return unwrap(m_client.Delete(path)); }

private:
    Json unwrap(const httplib::Result &result)
    {
        if (!result) {
            throw Error(ErrorKind::PeerUnavailable,
                        m_address.text() + " gave no answer; check --gateway");
        }
        const Json body = Json::parse(result->body, nullptr, false);
        if (result->status == 200)
            return body;
        throw Error(ErrorKind::Conflict,
                    body.is_object() ? body.value("error", result->body) : result->body);
    }

    Address m_address;
    httplib::Client m_client;
};

int check(const std::string &path)
{
    const CheckedServiceList checked = ServiceListCheck::read(Process::readFile(path), path);
    std::cout << describe(checked.problems);
    for (const Problem &it : checked.notices)
        std::cout << "note: " << it.text() << '\n';
    if (checked.problems.empty())
        std::cout << path << ": the service list is valid\n";
    return checked.problems.empty() ? 0 : exitRefused;
}

int apply(OperatorClient &client, const std::string &path, std::int64_t seen)
{
    const std::string text = Process::readFile(path) + "\n";
    if (seen < 0)
        seen = client.get("/operator/configuration").at("version");
    const Json answer = client.put("/operator/configuration?seen=" + std::to_string(seen), text);
    std::cout << "version " << answer.at("version") << " is accepted\n";
    return 0;
}

int listKeys(OperatorClient &client)
{
    const Json answer = client.get("/operator/keys");
    for (const Json &it : answer.at("keys")) {
        std::cout << it.at("id").get<std::string>() << ' ' << it.at("account").get<std::string>()
                  << (it.at("withdrawn") ? " withdrawn" : "") << '\n';
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Operates quetzalyoke through any of its gateways");
    app.set_version_flag("--version", "quetzalyokectl 0.1.0");
    app.require_subcommand(1);
    std::string gateway;
    std::string secretFile;
    app.add_option("--gateway", gateway, "IP:PORT of a gateway")->envname("QUETZALYOKE_GATEWAY");
    app.add_option("--operator-secret-file", secretFile, "file with the operators' credential")
        ->envname("QUETZALYOKE_OPERATOR_SECRET_FILE");

    std::string file;
    std::int64_t seen = -1;
    std::string account;
    std::string keyId;
    auto *checkCommand = app.add_subcommand("check", "check a service list");
    checkCommand->add_option("FILE", file)->required();
    auto *applyCommand = app.add_subcommand("apply", "put a service list in force");
    applyCommand->add_option("FILE", file)->required();
    applyCommand->add_option("--seen", seen, "version that your change starts from");
    auto *showCommand = app.add_subcommand("show", "print the service list in force");
    auto *statusCommand = app.add_subcommand("status", "print what a gateway knows");
    auto *keyCommand = app.add_subcommand("key", "grant, withdraw and list keys");
    keyCommand->require_subcommand(1);
    auto *grantCommand = keyCommand->add_subcommand("grant", "grant a key to a client account");
    grantCommand->add_option("ACCOUNT", account)->required();
    auto *withdrawCommand = keyCommand->add_subcommand("withdraw", "withdraw a key");
    withdrawCommand->add_option("ID", keyId)->required();
    auto *listCommand = keyCommand->add_subcommand("list", "list keys");
    for (CLI::App *it : {applyCommand, showCommand, statusCommand, keyCommand, grantCommand,
                         withdrawCommand, listCommand})
        it->fallthrough();
    CLI11_PARSE(app, argc, argv);

    try {
        if (*checkCommand)
            return check(file);
        OperatorClient client(gateway, secretFile);
        if (*applyCommand)
            return apply(client, file, seen);
        if (*showCommand)
            std::cout << client.get("/operator/configuration").at("text").get<std::string>();
        if (*statusCommand)
            std::cout << client.get("/operator/status").dump(2) << '\n';
        if (*grantCommand) {
            const Json key = client.post("/operator/keys?account=" + account);
            std::cout << key.at("id").get<std::string>() << ' ' << key.at("key").get<std::string>()
                      << '\n';
        }
        if (*withdrawCommand) {
            client.remove("/operator/keys/" + keyId);
            std::cout << keyId << " is withdrawn\n";
        }
        if (*listCommand)
            return listKeys(client);
        return 0;
    } catch (const Error &e) {
        std::cerr << e.what() << '\n';
        return e.kind() == ErrorKind::BadSettings ? exitBadInput : exitRefused;
    }
}
