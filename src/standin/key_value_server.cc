#include "standin/key_value_server.h"

#include <algorithm>

#include "http/http_status.h"
#include "ports/etcd_json.h"
#include "standin/json_response.h"

namespace moorfold {

namespace json = boost::json;

namespace {

json::value Header(StoreRevision revision) {
  return {{"revision", std::to_string(revision.number)}};
}

/// One line of a watch's answer.
std::string WatchLine(json::value result) {
  const json::value message = {{"result", std::move(result)}};
  return json::serialize(message) + "\n";
}

std::string WatchCreated(StoreRevision revision) {
  return WatchLine({{"header", Header(revision)}, {"created", true}});
}

}  // namespace

KeyValueServer::KeyValueServer(boost::asio::io_context& context, const Endpoint& listen,
                               KeyValueTraits traits)
    : traits_(traits),
      changed_(context.get_executor()),
      tokens_(traits.requests_per_second),
      tokens_at_(clock_.Now()),
      server_(
          {&context}, listen, HttpServerLimits{},
          [this](HttpServerExchange& exchange) { return Handle(exchange); }, PlainRejection) {}

void KeyValueServer::Start() { server_.Start(); }

void KeyValueServer::BreakWatches() {
  ++watch_generation_;
  changed_.NotifyAll();
}

bool KeyValueServer::TakeToken() {
  const Timestamp now = clock_.Now();
  const double earned = ToSeconds(now - tokens_at_) * traits_.requests_per_second;
  tokens_ = std::min(traits_.requests_per_second, tokens_ + earned);
  tokens_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

HttpResponse KeyValueServer::Answer(const HttpRequest& request) {
  const json::value body = ParseJson(request.body);
  const json::object& object = body.as_object();
  const Timestamp now = clock_.Now();
  table_.ExpireLeases(now);
  if (request.target == "/v3/kv/range") {
    ++reads_;
    const RangeResult result = table_.Range(etcd::ReadRange(object));
    json::array entries;
    for (const KeyValue& entry : result.entries) entries.push_back(etcd::WriteKeyValue(entry));
    const std::string count = std::to_string(entries.size());
    return JsonResponse(
        http_status::kOk,
        {{"header", Header(result.revision)}, {"kvs", std::move(entries)}, {"count", count}});
  }
  ++writes_;
  if (request.target == "/v3/kv/txn") {
    const TransactionResult result = table_.Transact(etcd::ReadTransaction(body));
    changed_.NotifyAll();
    return JsonResponse(http_status::kOk,
                        {{"header", Header(result.revision)}, {"succeeded", result.succeeded}});
  }
  if (request.target == "/v3/lease/grant") {
    const std::chrono::seconds seconds(etcd::ReadInteger(object, "TTL"));
    if (seconds.count() < 1) throw DecodeError("TTL must be at least 1");
    const LeaseId lease = table_.GrantLease(seconds, now);
    return JsonResponse(http_status::kOk, {{"header", Header(table_.revision())},
                                           {"ID", std::to_string(lease.number)},
                                           {"TTL", std::to_string(seconds.count())}});
  }
  if (request.target == "/v3/lease/keepalive") {
    const LeaseId lease = etcd::LeaseOf(etcd::ReadInteger(object, "ID"));
    const Duration granted = table_.KeepLeaseAlive(lease, now).value_or(Duration{0});
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(granted);
    json::object result = {{"header", Header(table_.revision())},
                           {"ID", std::to_string(lease.number)}};
    if (seconds.count() > 0) result["TTL"] = std::to_string(seconds.count());
    return JsonResponse(http_status::kOk, {{"result", std::move(result)}});
  }
  if (request.target == "/v3/lease/revoke") {
    if (!table_.RevokeLease(etcd::LeaseOf(etcd::ReadInteger(object, "ID"))))
      return JsonResponse(http_status::kNotFound, {{"error", "requested lease not found"}});
    changed_.NotifyAll();
    return JsonResponse(http_status::kOk, {{"header", Header(table_.revision())}});
  }
  return JsonResponse(http_status::kNotFound, {{"error", "no such method"}});
}

Awaitable<void> KeyValueServer::Handle(HttpServerExchange& exchange) {
  if (faults_.down) {
    exchange.Abort();
    co_return;
  }
  if (!TakeToken()) {
    co_await exchange.Respond(ErrorResponse(http_status::kTooManyRequests, "too many requests"));
    co_return;
  }
  co_await Sleep(traits_.latency + faults_.delay);
  if (faults_.down) {
    exchange.Abort();
    co_return;
  }
  if (exchange.request().target == "/v3/watch") {
    co_await HandleWatch(exchange);
    co_return;
  }
  HttpResponse response;
  try {
    response = Answer(exchange.request());
  } catch (const std::exception& error) {
    response = ErrorResponse(http_status::kBadRequest, error.what());
  }
  if (exchange.request().target == "/v3/kv/txn" && faults_.lost_answers > 0) {
    --faults_.lost_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(std::move(response));
}

Awaitable<void> KeyValueServer::HandleWatch(HttpServerExchange& exchange) {
  KeyRange range;
  StoreRevision next;
  std::string problem;
  try {
    const json::value body = ParseJson(exchange.request().body);
    const json::object& create = body.as_object().at("create_request").as_object();
    range = etcd::ReadRange(create);
    next = etcd::RevisionOf(etcd::ReadInteger(create, "start_revision"));
  } catch (const std::exception& error) {
    problem = error.what();
  }
  if (!problem.empty()) {
    co_await exchange.Respond(ErrorResponse(http_status::kBadRequest, problem));
    co_return;
  }
  if (next.number == 0) next = table_.revision().Next();
  bool closed = false;
  co_await exchange.BeginStream(http_status::kOk, ContentType("application/json"));
  exchange.OnDisconnect([&closed, this] {
    closed = true;
    changed_.NotifyAll();
  });
  co_await exchange.Write(WatchCreated(table_.revision()));
  const std::uint64_t generation = watch_generation_;
  while (!closed && generation == watch_generation_) {
    for (const WatchBatch& batch : table_.EventsSince(range, next)) {
      co_await exchange.Write(WatchLine(etcd::WriteBatch(batch)));
      next = batch.revision.Next();
    }
    if (table_.EventsSince(range, next).empty()) co_await changed_.Wait();
  }
  exchange.Abort();
}

}  // namespace moorfold
