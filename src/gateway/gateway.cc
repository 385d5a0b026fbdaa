#include "gateway/gateway.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/boot_clock.h"
#include "common/process_memory.h"
#include "gateway/quarantine_api.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr const char* kLeaderKey = "moorfold/leader";
constexpr const char* kSharingKey = "moorfold/quota-sharing";
constexpr const char* kQuarantineKey = "moorfold/quarantine";
/// Interval between two reads of the store, as a share of the tighter staleness bound. The rest
/// covers the store calls, requests in flight and slow machines. With an interval of the bound
/// less 0.9 s, a fleet of 86 daemons uses server records older than the bound on two of six days.
constexpr double kReadIntervalShare = 0.55;
/// Like `kReadIntervalShare`, for a leader that other daemons follow. A follower's data is older by
/// up to its polling interval and must stay within `kReadIntervalShare` even if one datagram is
/// lost.
constexpr double kWatcherReadIntervalShare = 0.1;
/// Minimum interval between two reads that are triggered by an event, such as a newer
/// configuration. Together with the polling interval it stays within `kReadIntervalShare` for
/// bounds of 3 s or more.
constexpr double kUrgentReadIntervalShare = 0.35;
/// Time without an answer from any relay after which a daemon reads the servers from the store
/// itself; the rest of the bound has to suffice for that read.
constexpr double kRelayTimeoutShare = 0.7;
/// Time to wait for a newer configuration from a relay before it is read from the store.
constexpr double kConfigurationTimeoutShare = 0.2;
/// Upper limit of the jitter added to `kRelayTimeoutShare`.
constexpr double kRelayTimeoutJitter = 0.15;
constexpr std::size_t kJitterSteps = 1'000;
constexpr milliseconds kPeriodicTaskInterval{500};
/// A timer that fires this late shows that the process was suspended or waited for the CPU. The
/// value is a tenth of a configuration bound of 2 s.
constexpr milliseconds kStallThreshold{200};
/// The sharing of tenants' limits is broadcast on change and at this interval, since a datagram may
/// be lost.
constexpr milliseconds kSharingBroadcastInterval{2'000};
constexpr milliseconds kLeaderLease{3'000};
constexpr milliseconds kStopPollInterval{50};
/// Longest time of a request on a route without a time-out.
constexpr milliseconds kNoTimeout = std::chrono::hours(1);
/// Time for the load balancer to see twice that this daemon is not ready.
constexpr milliseconds kNotReadyPropagation{2'600};
constexpr milliseconds kStopMargin{300};
/// Time before the end of the drain timeout at which all unanswered requests get an answer.
constexpr milliseconds kFinalAnswerMargin{600};
/// Factor on the configured idle timeout: clients may reuse a connection until shortly before the
/// configured timeout expires, so the server closes it later.
constexpr double kIdleMargin = 1.2;
/// Share of a process's memory that connections may hold for requests, unless a setting says it.
constexpr double kRequestMemoryShare = 0.5;
/// Connections of other daemons, as a share of those of clients.
constexpr std::size_t kDaemonConnectionDivisor = 2;
constexpr std::size_t kMinDaemonConnections = 16;
/// Connections of load balancers and monitoring, to each of their ports.
constexpr std::size_t kOperatorConnections = 32;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;

milliseconds CandidacyDelay(const GatewaySettings& settings) {
  constexpr double kLongestMs = 300;
  const double share = std::clamp(settings.cpu_share, 0.0, 1.0);
  return milliseconds(static_cast<std::int64_t>(kLongestMs * (1 - share)));
}

follow::Settings FollowSettings(const GatewaySettings& settings) {
  const milliseconds bound = std::min(settings.staleness_bound, settings.configuration_bound);
  const auto share = [&](double part) {
    return std::chrono::duration_cast<milliseconds>(bound * part);
  };
  follow::Settings result{share(kReadIntervalShare), share(kWatcherReadIntervalShare),
                          share(kUrgentReadIntervalShare)};
  // Spreads the reads of the store over time when all daemons lose their relays at once.
  const double spread =
      static_cast<double>(std::hash<std::string>{}(settings.name) % kJitterSteps) /
      static_cast<double>(kJitterSteps);
  result.configuration_relay_timeout = share(kConfigurationTimeoutShare);
  result.relay_timeout = share(kRelayTimeoutShare + kRelayTimeoutJitter * spread);
  return result;
}

quarantine::Settings QuarantineSettings(const GatewaySettings& settings) {
  quarantine::Settings result;
  result.servers = settings.quarantine_servers;
  result.retention = settings.quarantine_time;
  return result;
}

std::int64_t MillisecondsSince(SteadyTime time) {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() - time).count();
}

quota::Settings QuotaSettings(const GatewaySettings& settings) {
  return {settings.quota_window, settings.quota_overshoot, settings.quota_slack};
}

HttpResponse Plain(unsigned status, std::string text) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

HttpResponse RejectCall(const RejectedRequest& rejected) {
  return Plain(rejected.status, "the request cannot be read: " + rejected.reason + "\n");
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& context, GatewaySettings settings, KeyValueStore& store,
                 const FleetProtocol& protocol, EventLog& log)
    : context_(context),
      settings_(std::move(settings)),
      log_(log),
      view_(context.get_executor()),
      request_memory_(MakeRequestMemory()),
      overload_(context,
                {settings_.link_mbps,
                 overload::ConnectionCapacity(settings_.max_descriptors, settings_.memory_mb)},
                metrics_, log),
      contact_(view_, overload_, metrics_, log),
      store_(store, metrics_),
      store_view_(context, store_, protocol, view_, metrics_, log, FollowSettings(settings_)),
      channel_(context, settings_.peer,
               {[this](const DemandReport& report) { HandleDemandReport(report); },
                [this](const PlacementNotice& notice, const std::string& from) {
                  ReceivePlacementNotice(notice, from);
                },
                [this](const ChangeAnswer& answer, const std::string& from) {
                  HandleChangeAnswer(answer, from);
                },
                [this](const LeadershipOffer&) { election_.ReadLeaderKeyNow(true); },
                [this](const QuarantineNotice& notice, const std::string& from) {
                  peers_.Note(from, BootClock::now());
                  quarantine_.Hear(notice);
                },
                [this](const CreditSharing& sharing, const std::string& from) {
                  if (LeaderAddress() == from) ApplySharing(sharing);
                },
                [this](const CreditQuestion& question, const std::string& from) {
                  quota_.Hear(question, from);
                },
                [this](const CreditAnswer& answer, const std::string& from) {
                  quota_.Hear(answer, from);
                },
                [this](const RelayPlan& plan, const std::string& from) {
                  if (LeaderAddress() == from)
                    relays_.ApplyPlan(plan);
                  else
                    LogDroppedDatagram("relay plan from a sender other than the leader", from);
                },
                [this](const ServersRequest& question, const std::string& from) {
                  relays_.AnswerServersQuestion(question, from);
                },
                [this](const ServersPage& page, const std::string& from) {
                  relays_.HandleServersPage(page, from);
                },
                [this](const ConfigurationPartRequest& question, const std::string& from) {
                  relays_.AnswerConfigurationQuestion(question, from);
                },
                [this](const ConfigurationPart& part, const std::string& from) {
                  relays_.HandleConfigurationPart(part, from);
                },
                [this](const PermitRequest& question, const std::string& from) {
                  permits_.Hear(question, from);
                },
                [this](const PermitResponse& answer, const std::string& from) {
                  permits_.Hear(answer, from);
                },
                [this](const LoadOutlookNotice& notice, const std::string& from) {
                  ReceiveLoadOutlook(notice, from);
                },
                [this](const DetourQuery& query, const std::string& from) {
                  peers_.Note(from, BootClock::now());
                  detours_.Hear(query, from);
                },
                [this](const DetourOffer& offer, const std::string& from) {
                  detours_.Hear(offer, from);
                },
                [this](const RetryGrantRequest& request, const std::string& from) {
                  retries_.Hear(request, from);
                },
                [this](const RetryGrantResponse& response, const std::string& from) {
                  retries_.Hear(response, from);
                },
                [this](const VersionDemand& demand) { controller_.AddVersionDemand(demand); },
                [this](const std::string& problem) {
                  log_.Write(
                      LogRank::kRoutine,
                      EventLine(LogEvent::kDatagramDropped).Field(LogField::kProblem, problem));
                },
                [this](const UndecodableMessage& message) { RecordUnreadableMessage(message); }}),
      election_(context, store_, log,
                {settings_.name, ToString(channel_.endpoint()), kLeaderKey, kLeaderLease,
                 settings_.order_handover, settings_.load_window, CandidacyDelay(settings_)}),
      statements_(protocol, metrics_, log),
      controller_(
          context, protocol, view_, election_, statements_, metrics_, log,
          {settings_.name, settings_.load_window, settings_.prompt_separation,
           settings_.load_outlook},
          [this](const PlacementNotice& notice) {
            ApplyPlacementNotice(notice);
            BroadcastToFleet(notice);
          },
          [this](const LoadOutlookNotice& notice) {
            ApplyLoadOutlook(notice, ToString(channel_.endpoint()));
            BroadcastToFleet(notice);
          }),
      quarantine_(context, QuarantineSettings(settings_), log, metrics_.quarantine,
                  QuarantinePorts()),
      quarantine_record_(store_, log, kQuarantineKey,
                         [this](const QuarantineNotice& notice) { quarantine_.Hear(notice); }),
      quota_(context, QuotaSettings(settings_), ToString(channel_.endpoint()), metrics_.quota,
             QuotaPorts()),
      permits_(context, ToString(channel_.endpoint()), metrics_.permits, PermitPorts()),
      retries_(context, {settings_.retry_window, settings_.retry_ratio, settings_.retry_minimum},
               metrics_.retries, RetryPorts()),
      prober_(context, view_, contact_),
      detour_server_(MakeDetourServer()),
      detours_(context, metrics_.detours, DetourPorts()),
      origins_(context, store_, metrics_.streams, settings_.stream_lifetimes),
      stream_versions_(store_, log, settings_.stream_lifetimes, StreamVersionPorts()),
      census_(ToString(channel_.endpoint()), settings_.cpu_share),
      sharing_record_(store_, log, kSharingKey, LogEvent::kSharingNotStored),
      relays_(context, store_, store_view_, metrics_, log,
              {settings_.zone, ToString(channel_.endpoint()), settings_.relays_from_daemons},
              RelayPorts()),
      pipeline_(
          context, protocol, view_, quarantine_, quota_, statements_, permits_, retries_, contact_,
          overload_, detours_, origins_, metrics_, log,
          {settings_.zone, settings_.name, settings_.prompt_separation, SocketBufferBytes()}) {
  contact_.OnChange([this](detour::ContactState state) { HandleContactChange(state); });
  view_.configuration_bound = settings_.configuration_bound;
  view_.staleness_bound = settings_.staleness_bound;
  const std::vector<boost::asio::io_context*> contexts = {&context_};
  HttpServerLimits client_limits;
  client_limits.socket_buffer_bytes = SocketBufferBytes();
  client_server_ = std::make_unique<HttpServer>(
      contexts, settings_.listen, client_limits,
      [this](HttpServerExchange& exchange) { return pipeline_.Handle(exchange); },
      [this](const RejectedRequest& rejected) { return pipeline_.Reject(rejected); });
  client_server_->SetMemory(request_memory_);
  overload_.Watch(*client_server_);
  readiness_server_ = std::make_unique<HttpServer>(
      contexts, settings_.readiness, InternalLimits(kOperatorConnections),
      [this](HttpServerExchange& exchange) { return AnswerReadiness(exchange); }, RejectCall);
  readiness_server_->SetMemory(request_memory_);
  if (!settings_.metrics) return;
  metrics_server_ = std::make_unique<HttpServer>(
      contexts, Endpoint{settings_.listen.address, settings_.metrics->port},
      InternalLimits(kOperatorConnections),
      [this](HttpServerExchange& exchange) { return AnswerMetrics(exchange); }, RejectCall);
  metrics_server_->SetMemory(request_memory_);
}

void Gateway::Start() {
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kStart)
                                    .Field(LogField::kName, settings_.name)
                                    .Field(LogField::kZone, settings_.zone)
                                    .Field(LogField::kListen, ToString(client_server_->endpoint()))
                                    .Field(LogField::kStore, ToString(settings_.store))
                                    .Field(LogField::kPeakMemoryKb, PeakMemoryKilobytes()));
  client_server_->Start();
  readiness_server_->Start();
  detour_server_->Start();
  if (metrics_server_) metrics_server_->Start();
  channel_.Start();
  store_view_.Subscribe(quarantine_record_.key(),
                        [this](const std::optional<KeyValue>& entry, StoreRevision revision) {
                          HandleQuarantineRecord(entry, revision);
                        });
  store_view_.Subscribe(sharing_record_.key(),
                        [this](const std::optional<KeyValue>& entry, StoreRevision revision) {
                          HandleSharingRecord(entry, revision);
                        });
  store_view_.Subscribe(relays_.key(),
                        [this](const std::optional<KeyValue>& entry, StoreRevision revision) {
                          relays_.ApplyRecord(entry, revision);
                        });
  quota_.Start();
  statements_.OnLimitEnded([this](const Server& server) { permits_.ReportLimitRemoved(server); });
  // A restart under the same id implies that the previous process ended.
  store_view_.OnRestart([this](const std::string& id) {
    if (quarantine_.tracker().AwaitsConfirmation(id)) quarantine_.Note(quarantine::ServerEnded{id});
  });
  store_view_.Start(
      kLeaderKey,
      [this](const std::optional<KeyValue>& entry, StoreRevision revision) {
        election_.KeyChanged(entry, revision);
      },
      [this](const RoutingConfiguration& configuration) { ApplyConfiguration(configuration); });
  election_.Start();
  controller_.Start();
  boost::asio::co_spawn(context_, ReportDemand(), boost::asio::detached);
  boost::asio::co_spawn(context_, RunPeriodicTasks(), boost::asio::detached);
}

void Gateway::ApplyConfiguration(const RoutingConfiguration& configuration) {
  const ClientLimits& configured = configuration.limits;
  longest_idle_ = std::max(longest_idle_, configured.idle_timeout);
  HttpServerLimits limits;
  limits.socket_buffer_bytes = SocketBufferBytes();
  limits.header_bytes = configured.header_bytes;
  limits.body_bytes = configured.body_bytes;
  limits.header_timeout = configured.header_timeout;
  limits.idle_timeout = std::chrono::duration_cast<milliseconds>(longest_idle_ * kIdleMargin);
  client_server_->UpdateLimits(limits);
  quota_.SetLimits(configuration.tenants);
  if (pending_quarantine_record_)
    quarantine_.Hear(*std::exchange(pending_quarantine_record_, std::nullopt));
}

std::size_t Gateway::SocketBufferBytes() const {
  return settings_.socket_buffer_kb * kBytesPerKilobyte;
}

HttpServerLimits Gateway::InternalLimits(std::size_t connections) const {
  HttpServerLimits limits;
  limits.socket_buffer_bytes = SocketBufferBytes();
  limits.connections = connections;
  return limits;
}

std::shared_ptr<RequestMemory> Gateway::MakeRequestMemory() {
  RequestMemoryLimits limits;
  const double megabytes = settings_.request_memory_mb > 0
                               ? settings_.request_memory_mb
                               : settings_.memory_mb * kRequestMemoryShare;
  limits.bytes = static_cast<std::size_t>(megabytes * kBytesPerMegabyte);
  limits.stalled_after = settings_.stalled_after;
  auto memory = std::make_shared<RequestMemory>(limits);
  memory->OnEviction([this](EvictionReason reason, std::size_t bytes) {
    metrics_.connections_evicted.Add({{"reason", Name(reason)}});
    log_.Write(LogRank::kDecision, EventLine(LogEvent::kConnectionEvicted)
                                       .Field(LogField::kReason, Name(reason))
                                       .Field(LogField::kBytes, bytes)
                                       .Field(LogField::kTotal, request_memory_->bytes()));
  });
  return memory;
}

Awaitable<void> Gateway::AnswerReadiness(HttpServerExchange& exchange) {
  const bool ready = Ready();
  co_await exchange.Respond(Plain(ready ? http_status::kOk : http_status::kUnavailable,
                                  ready ? "ready\n" : "not ready\n"));
}

Awaitable<void> Gateway::AnswerMetrics(HttpServerExchange& exchange) {
  if (exchange.request().target.starts_with(kQuarantinePath)) {
    HttpResponse response = AnswerQuarantineCall(exchange.request(), quarantine_);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  if (exchange.request().target != settings_.metrics->path) {
    co_await exchange.Respond(Plain(http_status::kNotFound, "figures are at another path\n"));
    co_return;
  }
  metrics_.log_lines_lost = log_.lost();
  metrics_.repeated_reads = store_.repeated_reads();
  metrics_.peak_memory_kb = PeakMemoryKilobytes();
  if (view_.routes) metrics_.configuration_age_ms = MillisecondsSince(view_.configured_at);
  pipeline_.UpdateLoadMetrics();
  overload_.UpdateMetrics();
  metrics_.request_memory_bytes = static_cast<std::int64_t>(request_memory_->bytes());
  metrics_.peak_request_memory_bytes = static_cast<std::int64_t>(request_memory_->peak_bytes());
  metrics_.request_memory_limit_bytes = static_cast<std::int64_t>(request_memory_->limits().bytes);
  metrics_.request_memory_denied = request_memory_->charges_denied();
  metrics_.servers_known_age_ms = MillisecondsSince(view_.servers_current_at);
  metrics_.configuration_known_age_ms = MillisecondsSince(view_.configuration_current_at);
  co_await exchange.Respond(Plain(http_status::kOk, metrics_.Render()));
}

QuarantineService::Ports Gateway::QuarantinePorts() {
  QuarantineService::Ports ports;
  ports.send = [this](const std::string& to, const QuarantineNotice& notice) {
    channel_.SendTo(to, notice);
  };
  ports.broadcast = [this](const QuarantineNotice& notice) {
    if (election_.leading()) channel_.Broadcast(notice);
  };
  ports.leads = [this] { return election_.leading(); };
  ports.leader = [this]() -> std::optional<std::string> {
    const std::string leader = LeaderAddress();
    if (election_.leading() || leader.empty()) return std::nullopt;
    return leader;
  };
  ports.peers = [this] { return Peers(); };
  ports.server = [this](const std::string& server_id) -> std::optional<Endpoint> {
    const ServerPtr server = view_.servers.Find(server_id);
    return server ? std::optional(server->record().endpoint) : std::nullopt;
  };
  ports.service_exists = [this](const std::string& service) { return ServiceExists(service); };
  ports.refusal_shows_end = [this](const std::string& server_id) {
    contact_.RecordFailure(server_id);
    return contact_.state() == detour::ContactState::kReachable;
  };
  ports.changed = [this] { view_.changed.NotifyAll(); };
  return ports;
}

std::vector<std::string> Gateway::Peers() {
  std::vector<std::string> peers = peers_.Addresses(BootClock::now());
  std::erase(peers, ToString(channel_.endpoint()));
  return peers;
}

std::vector<std::string> Gateway::OtherDaemons() {
  std::vector<std::string> daemons = Peers();
  const std::string leader = LeaderAddress();
  const bool other_leads = !leader.empty() && leader != ToString(channel_.endpoint());
  if (other_leads && std::find(daemons.begin(), daemons.end(), leader) == daemons.end())
    daemons.push_back(leader);
  return daemons;
}

bool Gateway::ServiceExists(const std::string& service) const {
  return view_.routes && view_.routes->configuration().FindService(service) != nullptr;
}

void Gateway::HandleQuarantineRecord(const std::optional<KeyValue>& entry, StoreRevision revision) {
  // A store restored from an older copy has an outdated record, while this daemon knows the later
  // changes. Applying the record releases nothing but quarantines again what was released since.
  const bool copy = quarantine_era_ != kEraUntold && revision.era > quarantine_era_;
  quarantine_era_ = std::max(quarantine_era_, revision.era);
  quarantine_record_.Seen(entry ? entry->value : "", revision);
  if (!entry || copy) return;
  auto record = DecodeMessage<QuarantineNotice>(entry->value);
  if (view_.routes)
    quarantine_.Hear(record);
  else
    pending_quarantine_record_ = std::move(record);
}

void Gateway::UpdateQuarantine() {
  quarantine_.Tick();
  if (election_.leading()) quarantine_record_.Write(quarantine_.QuarantinedCases());
}

std::unique_ptr<HttpServer> Gateway::MakeDetourServer() {
  const std::size_t clients =
      overload::ConnectionCapacity(settings_.max_descriptors, settings_.memory_mb);
  const std::size_t connections =
      clients == 0 ? HttpServerLimits{}.connections
                   : std::max(kMinDaemonConnections, clients / kDaemonConnectionDivisor);
  auto server = std::make_unique<HttpServer>(
      std::vector<boost::asio::io_context*>{&context_}, settings_.peer, InternalLimits(connections),
      [this](HttpServerExchange& exchange) { return AnswerDetour(exchange); },
      [this](const RejectedRequest& rejected) { return pipeline_.RejectDetour(rejected); });
  server->SetMemory(request_memory_);
  return server;
}

DetourService::Ports Gateway::DetourPorts() {
  DetourService::Ports ports;
  ports.ask = [this](const std::string& to, const DetourQuery& query) {
    channel_.SendTo(to, query);
  };
  ports.answer = [this](const std::string& to, const DetourOffer& offer) {
    channel_.SendTo(to, offer);
  };
  ports.peers = [this] { return OtherDaemons(); };
  ports.accepts = [this] {
    return Ready() && contact_.state() == detour::ContactState::kReachable &&
           overload_.shortage() == overload::Shortage::kNone;
  };
  ports.reaches = [this](const std::string& server_id) {
    constexpr milliseconds kRecentResponse{2'000};
    const ServerPtr server = view_.servers.Find(server_id);
    return server && server->RespondedWithin(kRecentResponse, BootClock::now());
  };
  ports.active = [this] { return pipeline_.ActiveDetours(); };
  ports.port = detour_server_->endpoint().port;
  return ports;
}

Awaitable<void> Gateway::AnswerDetour(HttpServerExchange& exchange) {
  const std::string_view header = FindHeader(exchange.request().headers, detour::kOriginHeader);
  const std::optional<detour::Origin> origin = detour::ParseOrigin(header);
  if (!origin || !detours_.Allows(origin->token, exchange.remote().address)) {
    // An offer of this daemon's previous process, or not a daemon of this fleet.
    co_await pipeline_.DeclineDetour(exchange);
    co_return;
  }
  co_await pipeline_.HandleDetoured(exchange, *origin);
}

void Gateway::HandleContactChange(detour::ContactState state) {
  const bool isolated = state == detour::ContactState::kIsolated;
  isolated_since_ = isolated ? BootClock::now() : BootClock::time_point{};
  election_.SetReachesServers(!isolated);
  if (state != detour::ContactState::kReachable) prober_.Start();
  view_.changed.NotifyAll();
}

void Gateway::YieldLeadership() {
  constexpr milliseconds kMinIsolation{500};
  if (stopping_ || !election_.leading() || isolated_since_ == BootClock::time_point{}) return;
  const auto now = BootClock::now();
  if (now - isolated_since_ < kMinIsolation || controller_.sending() > 0) return;
  const std::optional<std::string> successor =
      members_.ChooseSuccessor(now, relays_.plan().needed());
  if (!successor) return;
  election_.StepDown(
      [this, successor] { channel_.SendTo(*successor, LeadershipOffer{settings_.name}); });
}

QuotaService::Ports Gateway::QuotaPorts() {
  QuotaService::Ports ports;
  ports.ask = [this](const std::string& to, const CreditQuestion& question) {
    channel_.SendTo(to, question);
  };
  ports.answer = [this](const std::string& to, const CreditAnswer& answer) {
    channel_.SendTo(to, answer);
  };
  return ports;
}

limits::AllocatorRole Gateway::PermitRole() const {
  if (election_.leading()) return limits::AllocatorRole::kLeader;
  const std::string leader = LeaderAddress();
  const bool other_leads = !leader.empty() && leader != ToString(channel_.endpoint());
  return other_leads ? limits::AllocatorRole::kNone : limits::AllocatorRole::kDeputy;
}

PermitService::Ports Gateway::PermitPorts() {
  PermitService::Ports ports;
  ports.ask = [this](const std::string& to, const PermitRequest& question) {
    channel_.SendTo(to, question);
  };
  ports.answer = [this](const std::string& to, const PermitResponse& answer) {
    channel_.SendTo(to, answer);
  };
  ports.leader = [this] { return LeaderAddress(); };
  ports.role = [this] { return PermitRole(); };
  ports.daemons = [this] { return fleet_size_; };
  return ports;
}

RetryBudgetService::Ports Gateway::RetryPorts() {
  RetryBudgetService::Ports ports;
  ports.ask = [this](const std::string& to, const RetryGrantRequest& request) {
    channel_.SendTo(to, request);
  };
  ports.answer = [this](const std::string& to, const RetryGrantResponse& response) {
    channel_.SendTo(to, response);
  };
  ports.leader = [this] { return LeaderAddress(); };
  ports.leads = [this] { return election_.HoldsLease(); };
  ports.service_exists = [this](const std::string& service) { return ServiceExists(service); };
  return ports;
}

streams::StreamVersionKeeper::Ports Gateway::StreamVersionPorts() {
  streams::StreamVersionKeeper::Ports ports;
  ports.leads = [this] { return election_.HoldsLease(); };
  ports.servers = [this] {
    streams::ServersByVersion servers;
    if (!view_.routes) return servers;
    for (const Route& route : view_.routes->configuration().routes) {
      if (!route.resumable) continue;
      for (const WeightedService& part : route.services) servers.try_emplace(part.service);
    }
    for (auto& [service, versions] : servers)
      for (const ServerPtr& server : view_.servers.Of(service))
        if (!server->IsLeaving()) ++versions[server->record().software_version];
    return servers;
  };
  ports.longest_timeout = [this] {
    milliseconds longest{0};
    if (!view_.routes) return longest;
    for (const Route& route : view_.routes->configuration().routes)
      if (route.resumable)
        longest = std::max(longest, route.timeout.count() > 0 ? route.timeout : kNoTimeout);
    return longest;
  };
  return ports;
}

void Gateway::ApplySharing(const CreditSharing& sharing) {
  if (sharing == quota_.sharing()) return;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kSharing)
                                     .Field(LogField::kDaemons, sharing.daemons)
                                     .Field(LogField::kPools, sharing.hosts.size()));
  quota_.SetSharing(sharing);
}

void Gateway::HandleSharingRecord(const std::optional<KeyValue>& entry, StoreRevision revision) {
  sharing_record_.Seen(entry, revision);
  // A sharing received from a leader is newer than the stored one.
  if (!entry || quota_.sharing().daemons > 0) return;
  ApplySharing(DecodeMessage<CreditSharing>(entry->value));
}

void Gateway::UpdateQuotaSharing() {
  const auto now = BootClock::now();
  if (!election_.leading()) {
    leading_since_ = {};
    return;
  }
  if (leading_since_ == BootClock::time_point{}) leading_since_ = now;
  if (!quota_.Limits()) return;
  const CreditSharing sharing = census_.Count(quota_.sharing(), leading_since_, now);
  if (sharing.daemons == 0) return;
  const bool changed = sharing != quota_.sharing();
  ApplySharing(sharing);
  sharing_record_.Write(sharing);
  if (!changed && now - last_sharing_broadcast_ < kSharingBroadcastInterval) return;
  last_sharing_broadcast_ = now;
  channel_.Broadcast(sharing);
}

void Gateway::RecordStall(BootClock::time_point due) {
  const auto delay = std::chrono::duration_cast<milliseconds>(BootClock::now() - due);
  if (delay < kStallThreshold) return;
  ++metrics_.stalls;
  metrics_.longest_stall_ms = std::max<std::int64_t>(metrics_.longest_stall_ms, delay.count());
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kStalled)
                                     .Field(LogField::kMs, delay.count())
                                     .Field(LogField::kConfigurationAgeMs,
                                            MillisecondsSince(view_.configuration_current_at)));
}

Awaitable<void> Gateway::RunPeriodicTasks() {
  while (true) {
    const auto due = BootClock::now() + kPeriodicTaskInterval;
    co_await Sleep(kPeriodicTaskInterval);
    RecordStall(due);
    if (election_.leading()) fleet_size_ = FleetSizeFromReports();
    const bool large =
        settings_.relay_from_daemons > 0 && FleetSizeFromReports() >= settings_.relay_from_daemons;
    store_view_.SetWatching((election_.leading() && large) || relays_.Watches());
    relays_.Tick();
    store_view_.ObserveEra(store_.era());
    UpdateQuarantine();
    UpdateQuotaSharing();
    stream_versions_.Tick();
    pipeline_.Sweep();
    contact_.Update();
    retries_.Update();
    YieldLeadership();
    pipeline_.LogOpenRequests();
    log_.Flush();
  }
}

void Gateway::Reload(const GatewaySettings& settings) {
  settings_.drain_timeout = settings.drain_timeout;
  log_.Write(LogRank::kFailure,
             EventLine(LogEvent::kReload)
                 .Field(LogField::kDrainTimeoutMs, settings.drain_timeout.count())
                 .Field(LogField::kOthers, "at the next start"));
}

void Gateway::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  log_.Write(LogRank::kFailure,
             EventLine(LogEvent::kStopping)
                 .Field(LogField::kConnections, client_server_->open_connections())
                 .Field(LogField::kActiveRequests, client_server_->active_requests()));
  client_server_->AnnounceClose();
  detour_server_->AnnounceClose();
  controller_.Stop();
  election_.StopOrdering();
  boost::asio::co_spawn(context_, Stop(), boost::asio::detached);
}

/// Accepts new requests until the load balancer has seen that this daemon is not ready. From then
/// on only requests in progress continue, since later ones might not finish in time.
/// @return whether the daemon can stop.
bool Gateway::AdvanceDrain(BootClock::time_point began) {
  const auto elapsed = BootClock::now() - began;
  if (elapsed >= settings_.drain_timeout - kStopMargin) return true;
  if (elapsed < kNotReadyPropagation) return false;
  client_server_->StopAccepting();
  client_server_->CloseIdle();
  detour_server_->StopAccepting();
  detour_server_->CloseIdle();
  const auto last_answers_at = began + settings_.drain_timeout - kFinalAnswerMargin;
  pipeline_.RefuseWaiting(last_answers_at);
  if (BootClock::now() >= last_answers_at) pipeline_.TimeOutUnanswered();
  return client_server_->open_connections() == 0 && detour_server_->active_requests() == 0;
}

/// Resigns once no order is awaiting its answer. The store must hold the resignation before the
/// successor reads it, so the offer is sent only afterwards.
void Gateway::TransferLeadership() {
  if (resigning_ || controller_.sending() > 0) return;
  resigning_ = true;
  const bool led = election_.leading();
  election_.Resign([this, led] {
    resigned_ = true;
    const std::optional<std::string> successor =
        members_.ChooseSuccessor(BootClock::now(), relays_.plan().needed());
    if (led && successor) channel_.SendTo(*successor, LeadershipOffer{settings_.name});
  });
}

Awaitable<void> Gateway::Stop() {
  const auto began = BootClock::now();
  while (true) {
    TransferLeadership();
    const auto elapsed = BootClock::now() - began;
    const bool last_moment = elapsed >= settings_.drain_timeout - kStopMargin;
    if (AdvanceDrain(began) && (resigned_ || last_moment)) break;
    co_await Sleep(kStopPollInterval);
  }
  pipeline_.ReportInterrupted();
  log_.Write(LogRank::kFailure,
             EventLine(LogEvent::kStopped)
                 .Field(LogField::kConnections, client_server_->open_connections())
                 .Field(LogField::kActiveRequests, client_server_->active_requests())
                 .Field(LogField::kRequests, metrics_.requests)
                 .Field(LogField::kLogLinesLost, log_.lost())
                 .Field(LogField::kPeakMemoryKb, PeakMemoryKilobytes()));
  log_.Flush();
  context_.stop();
}

}  // namespace moorfold
