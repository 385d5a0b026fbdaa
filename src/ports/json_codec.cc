#include "ports/json_codec.h"

namespace moorfold {

namespace json = boost::json;

void tag_invoke(json::value_from_tag, json::value& out, const Ledger& ledger) {
  json::array permits;
  for (const auto& [key, permit] : ledger.permits) permits.push_back(json::value_from(permit));
  out = {{"revision", ledger.revision},
         {"epoch", ledger.epoch},
         {"leader", ledger.leader},
         {"configuration_revision", ledger.configuration_revision},
         {"permits", std::move(permits)}};
}

Ledger tag_invoke(json::value_to_tag<Ledger>, const json::value& in) {
  const json::object& object = in.as_object();
  Ledger ledger;
  ledger.revision = object.at("revision").to_number<Revision>();
  ledger.epoch = object.at("epoch").to_number<std::uint64_t>();
  ledger.leader = object.at("leader").as_string();
  ledger.configuration_revision = object.at("configuration_revision").to_number<Revision>();
  for (const json::value& entry : object.at("permits").as_array()) {
    const auto permit = json::value_to<Permit>(entry);
    ledger.permits[permit.key] = permit;
  }
  return ledger;
}

json::value ParseJson(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(json::string_view(text.data(), text.size()), error);
  if (error) throw DecodeError("not JSON: " + error.message());
  return value;
}

}  // namespace moorfold
