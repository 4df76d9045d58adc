#include "platform/tablecodec.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

template <typename Call> auto guarded(Call Decode) {
  try {
    return Decode();
  } catch (const Json::exception &Caught) {
    throw Error(ResultCode::StoreMalformed, Caught.what());
  }
}

Json toJson(const RowKey &Key) {
  return {{"table", Key.m_Table}, {"key", Key.m_Key}};
}

RowKey toKey(const Json &From) { return {From.at("table"), From.at("key")}; }

Json toJson(const Row &Value) {
  return {{"value", Value.m_Value}, {"version", Value.m_Version}};
}

Row toRow(const Json &From) { return {From.at("value"), From.at("version")}; }

template <typename T>
std::optional<T> optionalAt(const Json &From, const char *Name) {
  if (From.at(Name).is_null())
    return std::nullopt;
  return From.at(Name).get<T>();
}

} // namespace

std::string encodeTransaction(const Transaction &Value) {
  Json Conditions = Json::array();
  for (const RowCondition &Condition : Value.m_Conditions) {
    Json Item = toJson(Condition.m_Row);
    Item["version"] = nullptr;
    if (Condition.m_Version)
      Item["version"] = *Condition.m_Version;
    Conditions.push_back(Item);
  }
  Json Writes = Json::array();
  for (const RowWrite &Change : Value.m_Writes) {
    Json Item = toJson(Change.m_Row);
    Item["value"] = nullptr;
    if (Change.m_Value)
      Item["value"] = *Change.m_Value;
    Writes.push_back(Item);
  }
  return Json{{"conditions", Conditions}, {"writes", Writes}}.dump();
}

Transaction decodeTransaction(const std::string &Body) {
  return guarded([&Body] {
    Json From = Json::parse(Body);
    Transaction Value;
    for (const Json &Item : From.at("conditions"))
      Value.m_Conditions.push_back(
          {toKey(Item), optionalAt<std::uint64_t>(Item, "version")});
    for (const Json &Item : From.at("writes"))
      Value.m_Writes.push_back(
          {toKey(Item), optionalAt<std::string>(Item, "value")});
    return Value;
  });
}

std::string encodeConflicts(const std::vector<RowKey> &Rows) {
  Json List = Json::array();
  for (const RowKey &Key : Rows)
    List.push_back(toJson(Key));
  return Json{{"conflicts", List}}.dump();
}

std::vector<RowKey> decodeConflicts(const std::string &Body) {
  return guarded([&Body] {
    std::vector<RowKey> Rows;
    Json From = Json::parse(Body);
    for (const Json &Item : From.at("conflicts"))
      Rows.push_back(toKey(Item));
    return Rows;
  });
}

std::string encodeRow(const Row &Value) { return toJson(Value).dump(); }

Row decodeRow(const std::string &Body) {
  return guarded([&Body] { return toRow(Json::parse(Body)); });
}

std::string encodeRows(const std::vector<KeyedRow> &Values) {
  Json List = Json::array();
  for (const KeyedRow &Value : Values) {
    Json Item = toJson(Value.m_Row);
    Item["key"] = Value.m_Key;
    List.push_back(Item);
  }
  return Json{{"rows", List}}.dump();
}

std::vector<KeyedRow> decodeRows(const std::string &Body) {
  return guarded([&Body] {
    std::vector<KeyedRow> Values;
    Json From = Json::parse(Body);
    for (const Json &Item : From.at("rows"))
      Values.push_back({Item.at("key"), toRow(Item)});
    return Values;
  });
}

} // namespace cyclamenwalk
