#include "health_expression/health_expression.h"

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>

#include <cstdlib>
#include <lua.hpp>
#include <optional>

namespace oxbow::health_expression {

// The state of one evaluation. The body is parsed as JSON on first use.
struct HealthExpression::Run {
  const Answer& answer;
  std::optional<rapidjson::Document> json;

  static int Call(lua_State* lua);
  static Run* Of(lua_State* lua) {
    return static_cast<Run*>(lua_touserdata(lua, lua_upvalueindex(1)));
  }
  const rapidjson::Value* At(const char* pointer) {
    if (!json) {
      json.emplace();
      // Parses iteratively: deeply nested brackets must not exhaust the stack.
      json->Parse<rapidjson::kParseIterativeFlag>(answer.body.data(),
                                                  answer.body.size());
    }
    if (json->HasParseError()) return nullptr;
    const rapidjson::Pointer where(pointer);
    return where.IsValid() ? where.Get(*json) : nullptr;
  }
};

namespace {

// Where Lua can raise an error, no destructor may be pending: Lua leaves the
// function by longjmp, which skips destructors.

int Has(lua_State* lua, std::string_view body) {
  size_t length = 0;
  const char* text = luaL_checklstring(lua, 1, &length);
  lua_pushboolean(
      lua, body.find(std::string_view(text, length)) != std::string_view::npos);
  return 1;
}

void RaiseTooManyInstructions(lua_State* lua, lua_Debug*) {
  luaL_error(lua, "too many instructions");
}

void PushValue(lua_State* lua, const rapidjson::Value* value) {
  if (value == nullptr) {
    lua_pushnil(lua);
    return;
  }
  if (value->IsBool()) {
    lua_pushboolean(lua, value->GetBool());
  } else if (value->IsInt64()) {
    lua_pushinteger(lua, value->GetInt64());
  } else if (value->IsNumber()) {
    lua_pushnumber(lua, value->GetDouble());
  } else if (value->IsString()) {
    lua_pushlstring(lua, value->GetString(), value->GetStringLength());
  } else {
    lua_pushnil(lua);
  }
}

}  // namespace

// Evaluates the expression inside the protected call, which contains everything
// that can raise an error. The first argument is the compiled expression, the
// second the Run. Each evaluation gets a new table of globals, so that no state
// carries over from one answer to the next.
int HealthExpression::Run::Call(lua_State* lua) {
  auto* current = static_cast<Run*>(lua_touserdata(lua, 2));
  const Answer& seen = current->answer;
  lua_newtable(lua);
  lua_pushinteger(lua, seen.status);
  lua_setfield(lua, 3, "status");
  lua_pushlstring(lua, seen.body.data(), seen.body.size());
  lua_setfield(lua, 3, "body");
  lua_pushnumber(lua, seen.latency_ms);
  lua_setfield(lua, 3, "latency_ms");
  const auto add = [lua, current](const char* name, lua_CFunction function) {
    lua_pushlightuserdata(lua, current);
    lua_pushcclosure(lua, function, 1);
    lua_setfield(lua, 3, name);
  };
  add("has", [](lua_State* l) { return Has(l, Run::Of(l)->answer.body); });
  add("count", [](lua_State* l) {
    const rapidjson::Value* v = Run::Of(l)->At(luaL_checkstring(l, 1));
    const bool many = v != nullptr && (v->IsArray() || v->IsObject());
    lua_pushinteger(l, !many          ? -1
                       : v->IsArray() ? static_cast<int>(v->Size())
                                      : static_cast<int>(v->MemberCount()));
    return 1;
  });
  add("value", [](lua_State* l) {
    PushValue(l, Run::Of(l)->At(luaL_checkstring(l, 1)));
    return 1;
  });
  lua_pushvalue(lua, 1);
  lua_pushvalue(lua, 3);
  // The chunk's only upvalue is the table of its globals. An expression that
  // uses no globals has no upvalue.
  if (lua_setupvalue(lua, -2, 1) == nullptr) lua_pop(lua, 1);
  lua_call(lua, 0, 1);
  return 1;
}

void* HealthExpression::Allocate(void* self, void* block, size_t old_size,
                                 size_t new_size) {
  auto* lua_owner = static_cast<HealthExpression*>(self);
  const size_t old = block == nullptr ? 0 : old_size;
  if (new_size == 0) {
    lua_owner->used_ -= old;
    std::free(block);
    return nullptr;
  }
  if (lua_owner->used_ - old + new_size > lua_owner->limits_.memory)
    return nullptr;
  void* moved = std::realloc(block, new_size);
  if (moved != nullptr) lua_owner->used_ += new_size - old;
  return moved;
}

HealthExpression::HealthExpression(const std::string& expression, Limits limits)
    : limits_(limits), lua_(lua_newstate(Allocate, this)) {
  if (lua_ == nullptr) {
    error_ = "no memory";
    return;
  }
  // Accepts source text only: a precompiled chunk could escape the Lua virtual
  // machine. No Lua library is opened: the instruction limit does not stop the
  // pattern functions of the string library, which can run almost indefinitely.
  const std::string chunk = "return (" + expression + "\n)";
  if (luaL_loadbufferx(lua_, chunk.data(), chunk.size(), "=verdict", "t") !=
      LUA_OK) {
    const char* text = lua_tostring(lua_, -1);
    error_ = text == nullptr ? "not an expression" : text;
    lua_settop(lua_, 0);
  }
}

HealthExpression::~HealthExpression() {
  if (lua_ != nullptr) lua_close(lua_);
}

HealthExpression::Result HealthExpression::Judge(const Answer& answer) {
  if (!error_.empty()) return Result::kError;
  Run run{answer, std::nullopt};
  lua_pushcfunction(lua_, &Run::Call);
  lua_pushvalue(lua_, 1);
  lua_pushlightuserdata(lua_, &run);
  lua_sethook(lua_, RaiseTooManyInstructions, LUA_MASKCOUNT,
              limits_.instructions);
  const int status = lua_pcall(lua_, 2, 1, 0);
  lua_sethook(lua_, nullptr, 0, 0);
  Result result = Result::kError;
  if (status == LUA_OK && lua_isboolean(lua_, -1)) {
    result = lua_toboolean(lua_, -1) ? Result::kGood : Result::kBad;
  }
  lua_settop(lua_, 1);
  lua_gc(lua_, LUA_GCCOLLECT, 0);
  return result;
}

std::string HealthExpression::WhatIsWrong(const std::string& expression) {
  return HealthExpression(expression).error();
}

}  // namespace oxbow::health_expression
