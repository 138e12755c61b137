#ifndef QUETZALYOKE_CORE_CONFIGURATION_INTERNAL_SERVICELISTREADER_H
#define QUETZALYOKE_CORE_CONFIGURATION_INTERNAL_SERVICELISTREADER_H

#include "Core/Configuration/IniSectionReader.h"
#include "Core/Configuration/ServiceList.h"

#include <string>

namespace quetzalyoke::internal {

/// \brief Reads the sections of a service list and reports the errors in them.
class ServiceListReader
{
public:
    ServiceListReader(std::string file, Problems &problems);

    ServiceList read(const IniDocument &document);

private:
    void readSection(const IniSection &section);
    void readModel(const IniSection &section, IniSectionReader &reader);
    void readAdapter(const IniSection &section, IniSectionReader &reader);
    void readService(const IniSection &section, IniSectionReader &reader);
    void readAccount(const IniSection &section, IniSectionReader &reader);
    void readServer(const IniSection &section, IniSectionReader &reader);
    void readOpenRoute(const IniSection &section);

    /// Returns the value of \a name, which must be a valid name.
    std::string readName(IniSectionReader &reader, const std::string &name);
    std::vector<std::string> readNames(IniSectionReader &reader, const std::string &name);
    RoutePattern readRoutePattern(const std::string &text, int line);
    /// Adds \a entry unless its name is invalid or already used.
    template<typename Entries, typename Entry>
    void addEntry(Entries &entries, const Entry &entry, const IniSection &section);
    bool checkName(const std::string &text, int line);
    void addProblem(int line, const std::string &what, const std::string &remedy);

    std::string m_file;
    Problems &m_problems;
    ServiceList m_list;
};

} // namespace quetzalyoke::internal

#endif
