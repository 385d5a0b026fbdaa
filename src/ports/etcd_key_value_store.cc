#include "ports/etcd_key_value_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "common/boot_clock.h"
#include "http/http_status.h"
#include "ports/etcd_json.h"

namespace moorfold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char* kRangeTarget = "/v3/kv/range";

/// One POST to the gateway, with the fate of a failure worked out.
/// A write goes over a fresh connection: on a pooled one that breaks it might be sent twice, and
/// the second answer would hide that the first took effect.
Awaitable<Outcome<json::value>> Call(std::shared_ptr<HttpClient> client, Endpoint endpoint,
                                     std::string target, std::string body, Deadline deadline) {
  HttpRequest request{
      "POST", std::move(target), {{"Content-Type", "application/json"}}, std::move(body)};
  HttpSendOptions options;
  options.deadline = deadline;
  options.fresh_connection = request.target != kRangeTarget;
  try {
    const HttpResponse response = co_await client->Send(endpoint, std::move(request), options);
    if (response.status == http_status::kTooManyRequests)
      co_return PlatformFailure{PlatformFault::kRateLimited, "key-value service: rate limit"};
    if (response.status == http_status::kUnavailable)
      co_return PlatformFailure{PlatformFault::kUnavailable, "key-value service: unavailable"};
    if (response.status != http_status::kOk)
      co_return PlatformFailure{PlatformFault::kRejected, "key-value service: " + response.body};
    co_return ParseJson(response.body);
  } catch (const HttpError& error) {
    const bool sent = error.stage() != HttpStage::kConnecting;
    co_return PlatformFailure{sent ? PlatformFault::kNoAnswer : PlatformFault::kUnavailable,
                              std::string("key-value service: ") + error.what()};
  } catch (const DecodeError& error) {
    co_return PlatformFailure{PlatformFault::kNoAnswer,
                              std::string("key-value service: ") + error.what()};
  }
}

/// Calls, decodes with `decode` and hands the outcome to `done`.
template <typename T, typename Decode>
Awaitable<void> CallAndDecode(std::shared_ptr<HttpClient> client, Endpoint endpoint,
                              std::string target, std::string body, Deadline deadline,
                              Decode decode, KeyValueStore::Callback<T> done) {
  const Outcome<json::value> answer = co_await Call(std::move(client), std::move(endpoint),
                                                    std::move(target), std::move(body), deadline);
  if (!answer.ok()) {
    done(answer.failure());
    co_return;
  }
  std::optional<T> decoded;
  std::string problem;
  try {
    decoded = decode(answer.value().as_object());
  } catch (const std::exception& error) {
    problem = error.what();
  }
  if (decoded)
    done(*decoded);
  else
    done(PlatformFailure{PlatformFault::kNoAnswer, "key-value service: " + problem});
}

StoreRevision HeaderRevision(const json::object& answer) {
  const json::value* header = answer.if_contains("header");
  if (header == nullptr) return {};
  return etcd::RevisionOf(etcd::ReadInteger(header->as_object(), "revision"));
}

/// State shared between a watch's handle and its coroutine.
struct WatchState {
  KeyValueStore::WatchCallback changed;
  KeyValueStore::WatchEndCallback ended;
  std::unique_ptr<HttpExchange> exchange;
  bool cancelled = false;
};

class EtcdWatchHandle : public WatchHandle {
 public:
  explicit EtcdWatchHandle(std::shared_ptr<WatchState> state) : state_(std::move(state)) {}
  ~EtcdWatchHandle() override {
    state_->cancelled = true;
    if (state_->exchange) state_->exchange->Cancel();
  }

 private:
  std::shared_ptr<WatchState> state_;
};

void DeliverLine(WatchState& state, const std::string& line) {
  const json::value message = ParseJson(line);
  const json::value* result = message.as_object().if_contains("result");
  if (result == nullptr) throw DecodeError("a watch answer without 'result'");
  const WatchBatch batch = etcd::ReadBatch(result->as_object());
  if (!batch.events.empty()) state.changed(batch);
}

Awaitable<void> ReadWatch(std::shared_ptr<WatchState> state) {
  std::string pending;
  while (!state->cancelled) {
    const std::string chunk = co_await state->exchange->ReadSome();
    if (chunk.empty()) co_return;
    pending += chunk;
    std::size_t end = 0;
    while (!state->cancelled && (end = pending.find('\n')) != std::string::npos) {
      DeliverLine(*state, pending.substr(0, end));
      pending.erase(0, end + 1);
    }
  }
}

Awaitable<void> RunWatch(std::shared_ptr<HttpClient> client, Endpoint endpoint, std::string body,
                         std::shared_ptr<WatchState> state) {
  PlatformFailure failure{PlatformFault::kUnavailable, "the watch ended"};
  try {
    HttpRequest request{
        "POST", "/v3/watch", {{"Content-Type", "application/json"}}, std::move(body)};
    state->exchange = co_await client->Open(endpoint, std::move(request), HttpSendOptions{});
    if (state->exchange->status() == http_status::kOk) co_await ReadWatch(state);
  } catch (const std::exception& error) {
    failure.message = error.what();
  }
  if (!state->cancelled) state->ended(failure);
}

}  // namespace

EtcdKeyValueStore::EtcdKeyValueStore(asio::io_context& context, Endpoint endpoint,
                                     std::chrono::milliseconds timeout)
    : context_(context),
      endpoint_(std::move(endpoint)),
      timeout_(timeout),
      client_(std::make_shared<HttpClient>(context)) {}

void EtcdKeyValueStore::Range(KeyRange range, Callback<RangeResult> done) {
  const auto decode = [](const json::object& answer) {
    RangeResult result{HeaderRevision(answer), {}};
    const json::value* entries = answer.if_contains("kvs");
    if (entries == nullptr) return result;
    for (const json::value& entry : entries->as_array())
      result.entries.push_back(etcd::ReadKeyValue(entry));
    return result;
  };
  asio::co_spawn(context_,
                 CallAndDecode<RangeResult>(client_, endpoint_, kRangeTarget,
                                            json::serialize(etcd::WriteRange(range)),
                                            BootClock::now() + timeout_, decode, std::move(done)),
                 asio::detached);
}

void EtcdKeyValueStore::Transact(Transaction transaction, Callback<TransactionResult> done) {
  const auto decode = [](const json::object& answer) {
    const json::value* succeeded = answer.if_contains("succeeded");
    return TransactionResult{succeeded != nullptr && succeeded->as_bool(), HeaderRevision(answer)};
  };
  asio::co_spawn(
      context_,
      CallAndDecode<TransactionResult>(client_, endpoint_, "/v3/kv/txn",
                                       json::serialize(etcd::WriteTransaction(transaction)),
                                       BootClock::now() + timeout_, decode, std::move(done)),
      asio::detached);
}

void EtcdKeyValueStore::GrantLease(Duration time_to_live, Callback<LeaseId> done) {
  const auto whole_seconds = std::chrono::duration_cast<std::chrono::seconds>(time_to_live);
  const json::value body = {{"TTL", std::to_string(whole_seconds.count())}};
  const auto decode = [](const json::object& answer) {
    return etcd::LeaseOf(etcd::ReadInteger(answer, "ID"));
  };
  asio::co_spawn(
      context_,
      CallAndDecode<LeaseId>(client_, endpoint_, "/v3/lease/grant", json::serialize(body),
                             BootClock::now() + timeout_, decode, std::move(done)),
      asio::detached);
}

void EtcdKeyValueStore::KeepLeaseAlive(LeaseId lease, Callback<Duration> done) {
  const json::value body = {{"ID", std::to_string(lease.number)}};
  const auto decode = [](const json::object& answer) -> Duration {
    return std::chrono::seconds(etcd::ReadInteger(answer.at("result").as_object(), "TTL"));
  };
  const auto reject_lapsed = [done = std::move(done)](Outcome<Duration> granted) {
    if (granted.ok() && granted.value() <= Duration{0})
      done(PlatformFailure{PlatformFault::kRejected, "the lease has lapsed; grant a new one"});
    else
      done(granted);
  };
  asio::co_spawn(
      context_,
      CallAndDecode<Duration>(client_, endpoint_, "/v3/lease/keepalive", json::serialize(body),
                              BootClock::now() + timeout_, decode, reject_lapsed),
      asio::detached);
}

void EtcdKeyValueStore::RevokeLease(LeaseId lease, Callback<bool> done) {
  const json::value body = {{"ID", std::to_string(lease.number)}};
  const auto decode = [](const json::object&) { return true; };
  asio::co_spawn(context_,
                 CallAndDecode<bool>(client_, endpoint_, "/v3/lease/revoke", json::serialize(body),
                                     BootClock::now() + timeout_, decode, std::move(done)),
                 asio::detached);
}

std::unique_ptr<WatchHandle> EtcdKeyValueStore::Watch(KeyRange range, StoreRevision start,
                                                      WatchCallback changed,
                                                      WatchEndCallback ended) {
  json::object create = etcd::WriteRange(range).as_object();
  create["start_revision"] = std::to_string(start.number);
  const json::value body = {{"create_request", std::move(create)}};
  auto state = std::make_shared<WatchState>();
  state->changed = std::move(changed);
  state->ended = std::move(ended);
  asio::co_spawn(context_, RunWatch(client_, endpoint_, json::serialize(body), state),
                 asio::detached);
  return std::make_unique<EtcdWatchHandle>(state);
}

}  // namespace moorfold
