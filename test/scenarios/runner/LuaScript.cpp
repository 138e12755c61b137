#include "LuaScript.h"

#include <lua.hpp>

namespace quetzalyoke::scenarios {

namespace {

using Json = nlohmann::json;

Json toJson(lua_State *state, int index);

Json tableToJson(lua_State *state, int index)
{
    const int table = lua_absindex(state, index);
    const auto length = static_cast<lua_Integer>(lua_rawlen(state, table));
    if (length > 0) {
        Json array = Json::array();
        for (lua_Integer i = 1; i <= length; ++i) {
            lua_rawgeti(state, table, i);
            array.push_back(toJson(state, -1));
            lua_pop(state, 1);
        }
        return array;
    }
    Json object = Json::object();
    lua_pushnil(state);
    while (lua_next(state, table) != 0) {
        // The key is copied because converting it in place would confuse lua_next().
        lua_pushvalue(state, -2);
        object[lua_tostring(state, -1)] = toJson(state, -2);
        lua_pop(state, 2);
    }
    return object;
}

Json toJson(lua_State *state, int index)
{
    switch (lua_type(state, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(state, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(state, index) != 0)
            return lua_tointeger(state, index);
        return lua_tonumber(state, index);
    case LUA_TSTRING: {
        std::size_t n = 0;
        const char *text = lua_tolstring(state, index, &n);
        return std::string(text, n);
    }
    case LUA_TTABLE:
        return tableToJson(state, index);
    default:
        return nullptr;
    }
}

void push(lua_State *state, const Json &value)
{
    if (value.is_boolean()) {
        lua_pushboolean(state, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(state, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(state, value.get<lua_Number>());
    } else if (value.is_string()) {
        const auto &text = value.get_ref<const std::string &>();
        lua_pushlstring(state, text.data(), text.size());
    } else if (value.is_array()) {
        lua_newtable(state);
        lua_Integer i = 0;
        for (const Json &it : value) {
            push(state, it);
            lua_rawseti(state, -2, ++i);
        }
    } else if (value.is_object()) {
        lua_newtable(state);
        for (const auto &[name, it] : value.items()) {
            push(state, it);
            lua_setfield(state, -2, name.c_str());
        }
    } else {
        lua_pushnil(state);
    }
}

// Leaves the result or the error message on the stack. This is separate from callHostFunction()
// because lua_error() runs no C++ destructors.
bool tryHostFunction(lua_State *state)
{
    const auto *function
        = static_cast<const LuaScript::HostFunction *>(lua_touserdata(state, lua_upvalueindex(1)));
    try {
        push(state, (*function)(toJson(state, 1)));
        return true;
    } catch (const std::exception &e) {
        lua_pushstring(state, e.what());
        return false;
    }
}

int callHostFunction(lua_State *state)
{
    if (tryHostFunction(state))
        return 1;
    luaL_where(state, 1);
    lua_insert(state, -2);
    lua_concat(state, 2);
    return lua_error(state);
}

int addTraceback(lua_State *state)
{
    luaL_traceback(state, state, lua_tostring(state, 1), 1);
    return 1;
}

} // namespace

void LuaScript::Closer::operator()(lua_State *state) const
{
    lua_close(state);
}

LuaScript::LuaScript(const std::string &libraryFolder) : m_state(luaL_newstate())
{
    lua_State *state = m_state.get();
    luaL_openlibs(state);
    lua_getglobal(state, "package");
    lua_pushstring(state, (libraryFolder + "/?.lua").c_str());
    lua_setfield(state, -2, "path");
    lua_pop(state, 1);
    lua_newtable(state);
    lua_setglobal(state, "host");
}

LuaScript::~LuaScript() = default;

void LuaScript::addHostFunction(const std::string &name, HostFunction function)
{
    lua_State *state = m_state.get();
    m_hostFunctions[name] = std::move(function);
    lua_getglobal(state, "host");
    lua_pushlightuserdata(state, &m_hostFunctions[name]);
    lua_pushcclosure(state, callHostFunction, 1);
    lua_setfield(state, -2, name.c_str());
    lua_pop(state, 1);
}

void LuaScript::setSeed(std::int64_t seed)
{
    lua_State *state = m_state.get();
    lua_getglobal(state, "math");
    lua_getfield(state, -1, "randomseed");
    lua_pushinteger(state, seed);
    lua_call(state, 1, 0);
    lua_pop(state, 1);
}

std::string LuaScript::run(const std::string &file)
{
    lua_State *state = m_state.get();
    lua_pushcfunction(state, addTraceback);
    const bool succeeded
        = luaL_loadfile(state, file.c_str()) == LUA_OK && lua_pcall(state, 0, 0, -2) == LUA_OK;
    if (succeeded)
        return {};
    const char *message = lua_tostring(state, -1);
    return message ? message : "the scenario failed without a message";
}

} // namespace quetzalyoke::scenarios
