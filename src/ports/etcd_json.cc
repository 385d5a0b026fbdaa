#include "ports/etcd_json.h"

#include <openssl/evp.h>

#include <charconv>

namespace moorfold::etcd {

namespace json = boost::json;

namespace {

constexpr std::size_t kGroup = 4;

const json::object& AsObject(const json::value& value) {
  if (!value.is_object()) throw DecodeError("expected a JSON object");
  return value.get_object();
}

std::string ReadBytes(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return {};
  if (!value->is_string()) throw DecodeError("'" + std::string(name) + "' is no base64 text");
  return DecodeBytes(value->get_string());
}

std::string ReadText(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

const json::array& ReadArray(const json::object& object, std::string_view name) {
  static const json::array kEmpty;
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return kEmpty;
  if (!value->is_array()) throw DecodeError("'" + std::string(name) + "' is no list");
  return value->get_array();
}

json::value WriteOperation(const Operation& operation) {
  if (const auto* put = std::get_if<PutOperation>(&operation)) {
    json::object body = {{"key", EncodeBytes(put->key)}, {"value", EncodeBytes(put->value)}};
    if (put->lease.exists()) body["lease"] = std::to_string(put->lease.number);
    return {{"request_put", std::move(body)}};
  }
  const std::string& key = std::get<DeleteOperation>(operation).key;
  return {{"request_delete_range", {{"key", EncodeBytes(key)}}}};
}

Operation ReadOperation(const json::value& value) {
  const json::object& object = AsObject(value);
  if (const json::value* put = object.if_contains("request_put")) {
    const json::object& body = AsObject(*put);
    return PutOperation{ReadBytes(body, "key"), ReadBytes(body, "value"),
                        LeaseOf(ReadInteger(body, "lease"))};
  }
  if (const json::value* removal = object.if_contains("request_delete_range"))
    return DeleteOperation{ReadBytes(AsObject(*removal), "key")};
  throw DecodeError("an operation is neither request_put nor request_delete_range");
}

}  // namespace

std::string EncodeBytes(std::string_view bytes) {
  constexpr std::size_t kBytesPerGroup = 3;
  std::string text(kGroup * ((bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::string DecodeBytes(std::string_view text) {
  if (text.size() % kGroup != 0) throw DecodeError("base64 of a wrong length");
  std::string bytes(text.size(), '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  if (length < 0) throw DecodeError("not base64");
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

std::int64_t ReadInteger(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return 0;
  if (value->is_int64()) return value->get_int64();
  if (!value->is_string()) throw DecodeError("'" + std::string(name) + "' is no integer");
  const json::string& text = value->get_string();
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size())
    throw DecodeError("'" + std::string(name) + "' is no integer");
  return number;
}

json::value WriteKeyValue(const KeyValue& entry) {
  json::object object = {{"key", EncodeBytes(entry.key)},
                         {"mod_revision", std::to_string(entry.mod_revision.number)},
                         {"value", EncodeBytes(entry.value)}};
  if (entry.lease.exists()) object["lease"] = std::to_string(entry.lease.number);
  return object;
}

KeyValue ReadKeyValue(const json::value& value) {
  const json::object& object = AsObject(value);
  return {ReadBytes(object, "key"), ReadBytes(object, "value"),
          RevisionOf(ReadInteger(object, "mod_revision")), LeaseOf(ReadInteger(object, "lease"))};
}

json::value WriteTransaction(const Transaction& transaction) {
  json::array compare;
  for (const Comparison& each : transaction.comparisons)
    compare.push_back({{"key", EncodeBytes(each.key)},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", std::to_string(each.mod_revision.number)}});
  json::array success;
  for (const Operation& operation : transaction.operations)
    success.push_back(WriteOperation(operation));
  return {{"compare", std::move(compare)}, {"success", std::move(success)}};
}

Transaction ReadTransaction(const json::value& value) {
  const json::object& object = AsObject(value);
  Transaction transaction;
  for (const json::value& entry : ReadArray(object, "compare")) {
    const json::object& comparison = AsObject(entry);
    if (ReadText(comparison, "target") != "MOD" || ReadText(comparison, "result") != "EQUAL")
      throw DecodeError("only comparisons MOD EQUAL are supported");
    transaction.comparisons.push_back(
        {ReadBytes(comparison, "key"), RevisionOf(ReadInteger(comparison, "mod_revision"))});
  }
  for (const json::value& entry : ReadArray(object, "success"))
    transaction.operations.push_back(ReadOperation(entry));
  return transaction;
}

json::value WriteRange(const KeyRange& range) {
  json::object object = {{"key", EncodeBytes(range.key)}};
  if (!range.end.empty()) object["range_end"] = EncodeBytes(range.end);
  return object;
}

KeyRange ReadRange(const json::object& object) {
  KeyRange range{ReadBytes(object, "key"), ReadBytes(object, "range_end")};
  if (range.key.empty()) throw DecodeError("'key' is missing");
  return range;
}

json::value WriteBatch(const WatchBatch& batch) {
  json::array events;
  for (const WatchEvent& event : batch.events) {
    json::object object = {{"kv", WriteKeyValue(event.entry)}};
    if (event.deleted) object["type"] = "DELETE";
    events.push_back(std::move(object));
  }
  return {{"header", {{"revision", std::to_string(batch.revision.number)}}},
          {"events", std::move(events)}};
}

WatchBatch ReadBatch(const json::object& result) {
  WatchBatch batch;
  const json::value* header = result.if_contains("header");
  if (header != nullptr) batch.revision = RevisionOf(ReadInteger(AsObject(*header), "revision"));
  for (const json::value& entry : ReadArray(result, "events")) {
    const json::object& event = AsObject(entry);
    const json::value* stored = event.if_contains("kv");
    if (stored == nullptr) throw DecodeError("an event without 'kv'");
    batch.events.push_back({ReadText(event, "type") == "DELETE", ReadKeyValue(*stored)});
  }
  return batch;
}

}  // namespace moorfold::etcd
