#include "store_emulator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <charconv>

#include "common/boot_clock.h"

namespace moorfold {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kPageItems = 500;
/// A drill may bring back a copy of up to 10 s.
constexpr milliseconds kBetweenCopies{500};
constexpr std::size_t kMostCopies = 22;
/// Longer than any caller waits.
constexpr milliseconds kSilence{10'000};

std::string Encode(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string Decode(std::string_view text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

std::string Unescape(std::string_view text) {
  constexpr int kHex = 16;
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%' || at + 2 >= text.size()) {
      plain += text[at];
      continue;
    }
    int code = 0;
    std::from_chars(text.data() + at + 1, text.data() + at + 3, code, kHex);
    plain += static_cast<char>(code);
    at += 2;
  }
  return plain;
}

std::string Query(const std::string& target, const std::string& name) {
  const std::size_t question = target.find('?');
  if (question == std::string::npos) return {};
  std::string_view rest = std::string_view(target).substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) return Unescape(pair.substr(equals + 1));
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return {};
}

HttpResponse Reply(const json::value& body, unsigned status = 200) {
  return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

json::object Item(const KeyValue& entry) {
  return {{"keyFile", entry.key},
          {"value", Encode(entry.value)},
          {"revision", entry.mod_revision.number},
          {"createdAt", entry.mod_revision.number},
          {"lease", entry.lease.number}};
}

bool IsRead(const HttpRequest& request) {
  const std::string& target = request.target;
  return target.starts_with("/kv-watch") || target.starts_with("/kv-range") ||
         target.starts_with("/kv-key");
}

KeyRange Prefix(const std::string& prefix) {
  return prefix.empty() ? KeyRange{"", "\xff"} : PrefixRange(prefix);
}

/// Who writes under a key: the operator and the servers, or the system itself.
bool OfTheSystem(const std::string& key) {
  return !key.starts_with("op/") && !key.starts_with("servers/");
}

void MapAddress(json::object& item, const StoreEmulator::AddressView& view) {
  if (!item.contains("value") || !item.at("keyFile").as_string().starts_with("servers/")) return;
  json::error_code error;
  json::value entry = json::parse(Decode(item.at("value").as_string()), error);
  json::value* address =
      error || !entry.is_object() ? nullptr : entry.as_object().if_contains("address");
  if (address == nullptr || !address->is_string()) return;
  *address = view(std::string(address->as_string()));
  item["value"] = Encode(json::serialize(entry));
}

/// @return the body of a read, with the servers' addresses as `view` has them.
std::string WithAddresses(const std::string& body, const StoreEmulator::AddressView& view) {
  json::value document = json::parse(body);
  json::object& object = document.as_object();
  if (object.contains("keyFile")) MapAddress(object, view);
  for (const char* list : {"items", "events"})
    if (json::value* entries = object.if_contains(list))
      for (json::value& item : entries->as_array()) MapAddress(item.as_object(), view);
  return json::serialize(document);
}

HttpResponse Refuse(unsigned status, const std::string& reason) { return {status, {}, reason}; }

HttpResponse Reject(const RejectedRequest& rejected) {
  return Refuse(rejected.status, rejected.reason);
}

}  // namespace

StoreEmulator::StoreEmulator(boost::asio::io_context& context, std::uint64_t seed)
    : context_(context),
      changed_(context.get_executor()),
      random_(seed),
      server_(
          {&context}, {"127.0.0.1", 0}, {},
          [this](HttpServerExchange& exchange) { return Handle(exchange, AddressView()); },
          Reject) {}

Endpoint StoreEmulator::AddListener(AddressView view) {
  listeners_.push_back(std::make_unique<HttpServer>(
      std::vector<boost::asio::io_context*>{&context_}, Endpoint{"127.0.0.1", 0},
      HttpServerLimits{},
      [this, view](HttpServerExchange& exchange) { return Handle(exchange, view); }, Reject));
  listeners_.back()->Start();
  return listeners_.back()->endpoint();
}

void StoreEmulator::Start() {
  server_.Start();
  boost::asio::co_spawn(context_, ExpireLeases(), boost::asio::detached);
  boost::asio::co_spawn(context_, KeepCopies(), boost::asio::detached);
}

std::int64_t StoreEmulator::Put(const std::string& key, const std::string& value) {
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{key, value, {}});
  const std::int64_t revision = table_.Transact(transaction).revision.number;
  changed_.NotifyAll();
  return revision;
}

void StoreEmulator::Remove(const std::string& key) {
  Transaction transaction;
  transaction.operations.emplace_back(DeleteOperation{key});
  table_.Transact(transaction);
  changed_.NotifyAll();
}

Awaitable<void> StoreEmulator::KeepCopies() {
  while (true) {
    copies_.push_back({BootClock::now(), table_});
    while (copies_.size() > kMostCopies) copies_.pop_front();
    co_await Sleep(kBetweenCopies);
  }
}

const KeyValueTable& StoreEmulator::CopyOfAge(milliseconds age) const {
  const auto wanted = BootClock::now() - age;
  const auto later = std::find_if(copies_.rbegin(), copies_.rend(),
                                  [&](const Copy& copy) { return copy.taken_at <= wanted; });
  return later == copies_.rend() ? copies_.front().table : later->table;
}

void StoreEmulator::ComeBackFromCopy(milliseconds age) {
  const std::vector<KeyValue> before = table_.Range(Prefix("")).entries;
  table_.RestoreFrom(CopyOfAge(age));
  copies_.clear();
  copies_.push_back({BootClock::now(), table_});
  for (const KeyValue& entry : before) {
    if (!OfTheSystem(entry.key)) {
      Put(entry.key, entry.value);
      continue;
    }
    const std::vector<KeyValue> now = table_.Range({entry.key, ""}).entries;
    if (now.empty() || now.front().value != entry.value) lost_.insert(entry.key);
  }
  std::vector<std::string> gone;
  for (const KeyValue& entry : table_.Range(Prefix("")).entries) {
    const auto same = [&](const KeyValue& each) { return each.key == entry.key; };
    if (!OfTheSystem(entry.key) && std::none_of(before.begin(), before.end(), same))
      gone.push_back(entry.key);
  }
  for (const std::string& key : gone) Remove(key);
  changed_.NotifyAll();
}

Awaitable<void> StoreEmulator::ExpireLeases() {
  constexpr milliseconds kEvery{50};
  while (true) {
    co_await Sleep(kEvery);
    const StoreRevision before = table_.revision();
    table_.ExpireLeases(clock_.Now());
    if (table_.revision() != before) changed_.NotifyAll();
  }
}

bool StoreEmulator::LosesAnswer(const HttpRequest& request) {
  const bool write = request.target == "/kv-txn" || request.target == "/kv-lease";
  return write && std::bernoulli_distribution(faults_.lose_share)(random_);
}

bool StoreEmulator::WithinRate(const HttpRequest& request) {
  const auto now = BootClock::now();
  const bool write = request.target == "/kv-txn" || request.target == "/kv-lease" ||
                     request.target.starts_with("/kv-lease-end/");
  return write ? writes_.Take(faults_.writes_per_second, now)
               : reads_.Take(faults_.reads_per_second, now);
}

Awaitable<void> StoreEmulator::Handle(HttpServerExchange& exchange, AddressView view) {
  ++calls_;
  const HttpRequest request = exchange.request();
  if (faults_.delay.count() > 0) co_await Sleep(faults_.delay);
  if (faults_.unavailable) {
    co_await exchange.Respond(Refuse(503, "down"));
    co_return;
  }
  if (faults_.silent) {
    co_await Sleep(kSilence);
    exchange.Abort();
    co_return;
  }
  if (!WithinRate(request)) {
    co_await exchange.Respond(Refuse(429, "too many calls"));
    co_return;
  }
  const bool lost = LosesAnswer(request);
  if (lost && faults_.lost_apply_late.count() > 0) co_await Sleep(faults_.lost_apply_late);
  HttpResponse response = co_await Answer(request);
  const std::int64_t era = table_.era();
  if (request.target == "/kv-lease" && faults_.grant_answer_delay.count() > 0)
    co_await Sleep(faults_.grant_answer_delay);
  const bool answered = !IsRead(request) || co_await HoldAnswer();
  if (lost || !answered) {
    exchange.Abort();
    co_return;
  }
  if (faults_.tells_era) response.headers.push_back({"Store-Era", std::to_string(era)});
  if (view && IsRead(request) && response.status == 200)
    response.body = WithAddresses(response.body, view);
  co_await exchange.Respond(std::move(response));
}

Awaitable<bool> StoreEmulator::HoldAnswer() {
  if (std::exchange(faults_.next_read_lost, false)) {
    co_await Sleep(kSilence);
    co_return false;
  }
  const milliseconds late = std::exchange(faults_.next_read_late, milliseconds(0));
  if (late.count() > 0) co_await Sleep(late);
  ++reads_answered_;
  co_return true;
}

Awaitable<HttpResponse> StoreEmulator::Answer(const HttpRequest& request) {
  const std::string& target = request.target;
  HttpResponse bad = Refuse(400, "");
  try {
    if (target.starts_with("/kv-watch")) co_return co_await Watch(target);
    if (target.starts_with("/kv-range")) co_return Range(target);
    if (target.starts_with("/kv-key")) co_return ReadKey(target);
    if (target == "/kv-txn") co_return Transact(request.body);
    if (target == "/kv-lease") co_return Lease(request.body);
    const std::size_t slash = target.rfind('/');
    const LeaseId lease{table_.era(), std::stoll(target.substr(slash + 1))};
    if (target.starts_with("/kv-keep/")) {
      const auto left = table_.KeepLeaseAlive(lease, clock_.Now());
      if (!left) co_return Refuse(404, "no such lease");
      co_return Reply(
          json::value{{"ttlMs", std::chrono::duration_cast<milliseconds>(*left).count()}});
    }
    if (target.starts_with("/kv-lease-end/")) {
      const bool ended = table_.RevokeLease(lease);
      changed_.NotifyAll();
      co_return Refuse(ended ? 200 : 404, "");
    }
  } catch (const std::exception& error) {
    bad.body = error.what();
  }
  co_return bad;
}

Awaitable<HttpResponse> StoreEmulator::Watch(const std::string& target) {
  if (faults_.history_gone) co_return Refuse(410, "history is gone");
  const KeyRange range = Prefix(Query(target, "pathPrefix"));
  const std::int64_t after = std::stoll(Query(target, "after"));
  if (!table_.CanWatchFrom({table_.era(), after + 1})) co_return Refuse(410, "not given out yet");
  const auto end = BootClock::now() + milliseconds(std::stoll(Query(target, "waitMs")));
  while (true) {
    json::array events;
    for (const WatchBatch& batch : table_.EventsSince(range, {table_.era(), after + 1}))
      for (const WatchEvent& event : batch.events) {
        if (event.deleted)
          events.push_back({{"keyFile", event.entry.key},
                            {"revision", event.entry.mod_revision.number},
                            {"gone", true}});
        else
          events.emplace_back(Item(event.entry));
      }
    if (!events.empty() || BootClock::now() >= end)
      co_return Reply(json::value{{"events", events}, {"at", table_.revision().number}});
    co_await changed_.Wait(end);
  }
}

HttpResponse StoreEmulator::Range(const std::string& target) {
  const std::string after = Query(target, "after");
  json::array items;
  bool more = false;
  for (const KeyValue& entry : table_.Range(Prefix(Query(target, "pathPrefix"))).entries) {
    if (!after.empty() && entry.key <= after) continue;
    more = items.size() >= kPageItems;
    if (more) break;
    items.emplace_back(Item(entry));
  }
  return Reply(json::value{{"items", items}, {"more", more}, {"at", table_.revision().number}});
}

HttpResponse StoreEmulator::ReadKey(const std::string& target) {
  const RangeResult found = table_.Range({Query(target, "keyFile"), ""});
  if (found.entries.empty()) return Refuse(404, "no such key");
  json::object item = Item(found.entries.front());
  item["at"] = table_.revision().number;
  return Reply(item);
}

HttpResponse StoreEmulator::Transact(const std::string& body) {
  const json::value parsed = json::parse(body);
  Transaction transaction;
  for (const json::value& row : parsed.at("prevRevision").as_array())
    transaction.comparisons.push_back(
        {std::string(row.at("keyFile").as_string()),
         {table_.era(), row.at("revision").to_number<std::int64_t>()}});
  for (const json::value& put : parsed.at("put").as_array()) {
    const std::string key(put.at("keyFile").as_string());
    if (key.starts_with("op/") || key.starts_with("servers/")) return Refuse(403, "not yours");
    const LeaseId lease{table_.era(), put.at("lease").to_number<std::int64_t>()};
    if (lease.exists() && !table_.HasLease(lease, clock_.Now()))
      return Refuse(404, "no such lease");
    transaction.operations.emplace_back(
        PutOperation{key, Decode(put.at("value").as_string()), lease});
  }
  for (const json::value& key : parsed.at("remove").as_array())
    transaction.operations.emplace_back(DeleteOperation{std::string(key.as_string())});
  const TransactionResult result = table_.Transact(transaction);
  if (!result.succeeded) return Reply(json::value{{"items", json::array()}}, 412);
  for (const Operation& operation : transaction.operations)
    if (const auto* put = std::get_if<PutOperation>(&operation))
      written_again_ += static_cast<int>(lost_.erase(put->key));
  changed_.NotifyAll();
  return Reply(json::value{{"revision", result.revision.number}});
}

HttpResponse StoreEmulator::Lease(const std::string& body) {
  const auto time_to_live = json::parse(body).at("ttlMs").to_number<std::int64_t>();
  const LeaseId lease = table_.GrantLease(Duration(milliseconds(time_to_live)), clock_.Now());
  return Reply(json::value{{"lease", lease.number}, {"ttlMs", time_to_live}});
}

}  // namespace moorfold
