#ifndef QUETZALYOKE_SCENARIOS_LUASCRIPT_H
#define QUETZALYOKE_SCENARIOS_LUASCRIPT_H

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

struct lua_State;

namespace quetzalyoke::scenarios {

/// \brief A Lua interpreter with verbs written in C++.
///
/// A verb takes one table and returns one table; both cross as JSON values. A table whose keys
/// are 1, 2, ... is an array, any other an object.
class LuaScript
{
public:
    using HostFunction = std::function<nlohmann::json(const nlohmann::json &)>;

    /// Modules are found in \a libraryFolder.
    explicit LuaScript(const std::string &libraryFolder);
    ~LuaScript();
    LuaScript(const LuaScript &) = delete;
    LuaScript &operator=(const LuaScript &) = delete;

    /// Makes \a verb callable as `host.<name>(table)`.
    void addHostFunction(const std::string &name, HostFunction verb);
    /// Seeds math.random.
    void setSeed(std::int64_t seed);
    /// Runs \a file; the error with its traceback, empty where it succeeded.
    std::string run(const std::string &file);

private:
    struct Closer
    {
        void operator()(lua_State *state) const;
    };

    std::unique_ptr<lua_State, Closer> m_state;
    std::map<std::string, HostFunction> m_verbs;
};

} // namespace quetzalyoke::scenarios

#endif
