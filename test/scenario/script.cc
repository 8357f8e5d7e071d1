// Calls commands from Lua 5.4 with JSON values. Lua is built as C and raises errors with longjmp,
// which runs no destructors: no C++ object may be alive where Lua raises an error.

#include "script.h"

#include <lua.hpp>

namespace scenario {
namespace {

Json::Value value_at(lua_State* lua, int index);

Json::Value table_at(lua_State* lua, int index)
{
    const lua_Integer length = luaL_len(lua, index);
    Json::Value result(length > 0 ? Json::arrayValue : Json::objectValue);
    for (lua_Integer i = 1; i <= length; ++i) {
        lua_rawgeti(lua, index, i);
        result.append(value_at(lua, lua_gettop(lua)));
        lua_pop(lua, 1);
    }
    if (length > 0) {
        return result;
    }
    lua_pushnil(lua);
    while (lua_next(lua, index) != 0) {
        if (lua_type(lua, -2) == LUA_TSTRING) {
            result[lua_tostring(lua, -2)] = value_at(lua, lua_gettop(lua));
        }
        lua_pop(lua, 1);
    }
    return result;
}

Json::Value value_at(lua_State* lua, int index)
{
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return Json::Value(lua_toboolean(lua, index) != 0);
    case LUA_TNUMBER:
        return lua_isinteger(lua, index) != 0
                   ? Json::Value(static_cast<Json::Int64>(lua_tointeger(lua, index)))
                   : Json::Value(lua_tonumber(lua, index));
    case LUA_TSTRING:
        return Json::Value(lua_tostring(lua, index));
    case LUA_TTABLE:
        return table_at(lua, index);
    default:
        return {};
    }
}

void push(lua_State* lua, const Json::Value& value)
{
    luaL_checkstack(lua, 4, nullptr);
    if (value.isBool()) {
        lua_pushboolean(lua, value.asBool() ? 1 : 0);
    }
    else if (value.isInt64() || value.isUInt64()) {
        lua_pushinteger(lua, value.asInt64());
    }
    else if (value.isDouble()) {
        lua_pushnumber(lua, value.asDouble());
    }
    else if (value.isString()) {
        lua_pushstring(lua, value.asCString());
    }
    else if (value.isArray()) {
        lua_newtable(lua);
        for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
            push(lua, value[i]);
            lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
        }
    }
    else if (value.isObject()) {
        lua_newtable(lua);
        for (const std::string& key : value.getMemberNames()) {
            push(lua, value[key]);
            lua_setfield(lua, -2, key.c_str());
        }
    }
    else {
        lua_pushnil(lua);
    }
}

/// Pushes the result of the command, or the error text; returns whether the command succeeded.
bool call_command(lua_State* lua)
{
    testbed* bed = static_cast<testbed*>(lua_touserdata(lua, lua_upvalueindex(1)));
    const std::size_t index = static_cast<std::size_t>(lua_tointeger(lua, lua_upvalueindex(2)));
    Json::Value arguments(Json::arrayValue);
    const int count = lua_gettop(lua);
    for (int i = 1; i <= count; ++i) {
        arguments.append(value_at(lua, i));
    }
    std::string why;
    const std::optional<Json::Value> result =
        bed->run(testbed::commands()[index].action, arguments, why);
    if (result) {
        push(lua, *result);
        return true;
    }
    luaL_where(lua, 1);
    lua_pushstring(lua, why.c_str());
    lua_concat(lua, 2);
    return false;
}

int command_function(lua_State* lua)
{
    return call_command(lua) ? 1 : lua_error(lua);
}

} // namespace

bool run_script(testbed& bed, const std::string& path, std::uint64_t seed, std::string& why)
{
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    const std::vector<named_command>& commands = testbed::commands();
    for (std::size_t i = 0; i < commands.size(); ++i) {
        lua_pushlightuserdata(lua, &bed);
        lua_pushinteger(lua, static_cast<lua_Integer>(i));
        lua_pushcclosure(lua, command_function, 2);
        lua_setglobal(lua, commands[i].name);
    }
    const std::string prelude = "math.randomseed(" + std::to_string(seed) + ")";
    const bool succeeded =
        luaL_dostring(lua, prelude.c_str()) == LUA_OK && luaL_dofile(lua, path.c_str()) == LUA_OK;
    if (!succeeded) {
        why = lua_tostring(lua, -1);
    }
    lua_close(lua);
    return succeeded;
}

} // namespace scenario
