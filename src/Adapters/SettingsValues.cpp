#include "Adapters/SettingsValues.h"

#include "Adapters/Process.h"
#include "Core/Error.h"
#include "Core/Name.h"

#include <sys/stat.h>

namespace quetzalyoke {

namespace {

constexpr std::size_t minSecretLength = 16;

std::optional<Address> parseOrAddProblem(IniSectionReader &reader, const std::string &name,
                                         const std::string &text)
{
    try {
        return Address::parse(text);
    } catch (const Error &) {
        reader.addProblem(name, name + " = " + text + " is no address", "write it as IP:PORT");
        return std::nullopt;
    }
}

} // namespace

void readSingleSection(const IniDocument &document, const std::string &kind, Problems &problems,
                       const std::function<void(IniSectionReader &)> &read)
{
    const std::string heading = "[" + kind + "]";
    bool found = false;
    for (const IniSection &it : document.sections()) {
        if (it.kind != kind || found) {
            problems.push_back({document.file(), it.line,
                                found && it.kind == kind ? heading + " is there twice"
                                                         : "unknown section [" + it.kind + "]",
                                "put all settings below one line " + heading});
            continue;
        }
        found = true;
        IniSectionReader reader(document.file(), it, problems);
        read(reader);
        reader.reportUnexpectedEntries();
    }
    if (!found) {
        problems.push_back({document.file(), 0, "no " + heading + " section",
                            "start the file with a line " + heading});
    }
}

std::string readName(IniSectionReader &reader, const std::string &name)
{
    const std::string text = reader.text(name);
    if (!text.empty() && !isValidName(text))
        reader.addProblem(name, "\"" + text + "\" is no valid name", nameFormatHint());
    return text;
}

Address readAddress(IniSectionReader &reader, const std::string &name,
                    const std::optional<std::string> &fallback)
{
    const std::string text = reader.text(name, fallback);
    if (text.empty())
        return {};
    return parseOrAddProblem(reader, name, text).value_or(Address());
}

std::vector<std::string> readAddresses(IniSectionReader &reader, const std::string &name)
{
    std::vector<std::string> addresses;
    for (const std::string &it : reader.list(name)) {
        const auto address = parseOrAddProblem(reader, name, it);
        if (address)
            addresses.push_back(address->text());
    }
    return addresses;
}

std::string readSecretFile(IniSectionReader &reader, const std::string &name)
{
    const std::string path = reader.text(name);
    if (path.empty())
        return {};
    struct stat status
    { };
    if (stat(path.c_str(), &status) == 0 && (status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        reader.addProblem(name, path + " is accessible to other users", "chmod 600 " + path);
        return {};
    }
    try {
        const std::string secret = Process::readFile(path);
        if (secret.size() < minSecretLength) {
            reader.addProblem(name, path + " contains a secret that is too short",
                              "write at least " + std::to_string(minSecretLength)
                                  + " random characters into it");
        }
        return secret;
    } catch (const Error &e) {
        reader.addProblem(name, e.what(), "create it with mode 600");
        return {};
    }
}

} // namespace quetzalyoke
