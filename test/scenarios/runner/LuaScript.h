#ifndef QUETZALYOKE_SCENARIOS_LUASCRIPT_H
#define QUETZALYOKE_SCENARIOS_LUASCRIPT_H

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

struct lua_State;

namespace quetzalyoke::scenarios {

/// \brief A Lua interpreter with host functions that are written in C++.
///
/// A host function takes one table and returns one table, which are converted from and to JSON. A
/// table whose keys are 1, 2, ... is an array, any other an object.
class LuaScript
{
public:
    using HostFunction = std::function<nlohmann::json(const nlohmann::json &)>;

    /// Lua modules are loaded from \a libraryFolder.
    explicit LuaScript(const std::string &libraryFolder);
    ~LuaScript();
    LuaScript(const LuaScript &) = delete;
    LuaScript &operator=(const LuaScript &) = delete;

    /// Makes \a function callable as `host.<name>(table)`.
    void addHostFunction(const std::string &name, HostFunction function);
    /// Seeds math.random.
    void setSeed(std::int64_t seed);
    /// Runs \a file. Returns the error message with its traceback, or an empty text on success.
    std::string run(const std::string &file);

private:
    struct Closer
    {
        void operator()(lua_State *state) const;
    };

    std::unique_ptr<lua_State, Closer> m_state;
    std::map<std::string, HostFunction> m_hostFunctions;
};

} // namespace quetzalyoke::scenarios

#endif
