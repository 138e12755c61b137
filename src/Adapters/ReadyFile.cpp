#include "Adapters/ReadyFile.h"

#include "Core/Error.h"

#include <cstdio>
#include <fstream>

namespace quetzalyoke {

void writeReadyFile(const std::string &path, const std::map<std::string, std::string> &addresses)
{
    if (path.empty())
        return;
    const std::string temporary = path + ".new";
    {
        std::ofstream file(temporary);
        for (const auto &[name, address] : addresses)
            file << name << '=' << address << '\n';
        if (!file)
            throw Error(ErrorKind::BadSettings, path + " can't be written; check ready_file");
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        throw Error(ErrorKind::BadSettings, path + " can't be written; check ready_file");
}

} // namespace quetzalyoke
