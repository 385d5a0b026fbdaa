#include "daemon/control_loop.h"

#include <glog/logging.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "common/boot_clock.h"
#include "common/log_line.h"

namespace moorfold {
namespace {

constexpr std::chrono::milliseconds kKeyValueTimeout{2'000};
constexpr std::chrono::milliseconds kListTimeout{2'000};
constexpr std::chrono::milliseconds kReportTimeout{2'000};
constexpr std::chrono::minutes kOrderTimeout{10};
/// Changes that come together make one table.
constexpr std::chrono::milliseconds kPublishDelay{5};

HostSettings MakeHostSettings(const DaemonSettings& settings) {
  HostSettings host;
  host.machine_list_interval = settings.machine_list_interval;
  return host;
}

}  // namespace

class ControlLoop::AsioScheduler : public Scheduler {
 public:
  AsioScheduler(boost::asio::io_context& context, const WallClock& clock)
      : context_(context), clock_(clock) {}
  Timestamp Now() const override { return clock_.Now(); }
  void After(Duration delay, std::function<void()> callback) override {
    auto timer = std::make_shared<BootTimer>(context_, delay);
    timer->async_wait(
        [timer, callback = std::move(callback)](const boost::system::error_code& error) {
          if (!error) callback();
        });
  }

 private:
  boost::asio::io_context& context_;
  const WallClock& clock_;
};

class ControlLoop::TransportSender : public PeerSender {
 public:
  explicit TransportSender(PeerTransport& transport) : transport_(transport) {}
  void Send(const Machine& to, const PeerMessage& message) override {
    transport_.Send({to.address, to.peer_port}, message);
  }
  void Send(const Machine& to, const ClaimMessage& message) override {
    transport_.Send({to.address, to.peer_port}, message);
  }

 private:
  PeerTransport& transport_;
};

class ControlLoop::Observer : public HostObserver {
 public:
  explicit Observer(ControlLoop& loop) : loop_(loop) {}
  void OnRoutingChanged(const State&) override { loop_.SchedulePublish(); }
  void OnLoadsChanged(const std::vector<ServerLoad>& loads) override {
    loop_.table_builder_.UpdateLoads(loads);
  }
  void OnLog(const LogRecord& record) override {
    LogLine line(record.name);
    for (const auto& [key, value] : record.fields) line.Field(key, value);
    if (record.severity == LogSeverity::kInfo)
      LOG(INFO) << line;
    else
      LOG(WARNING) << line;
  }
  std::vector<DemandSample> TakeDemand(bool waiting_only) override {
    return loop_.table_builder_.TakeDemand(waiting_only);
  }
  void OnClaimFinished(std::uint64_t call, const ClaimResult& result) override {
    const auto found = loop_.claim_calls_.find(call);
    if (found == loop_.claim_calls_.end()) return;
    const ClaimCallback callback = std::move(found->second);
    loop_.claim_calls_.erase(found);
    callback(result);
  }

 private:
  ControlLoop& loop_;
};

ControlLoop::ControlLoop(boost::asio::io_context& context, const DaemonSettings& settings,
                         const Identity& self, RoutingTablePublisher& tables,
                         std::function<void()> table_published)
    : context_(context),
      tables_(tables),
      table_published_(std::move(table_published)),
      transport_(
          context, settings.peer_listen, FrameCodec(settings.peer_key, self.name, self.incarnation),
          [this] { return clock_.Now(); },
          [this](const DaemonName& from, const PeerPayload& payload) { OnPayload(from, payload); }),
      key_value_(context, settings.key_value, kKeyValueTimeout),
      documents_(key_value_),
      machine_list_(context, settings.machine_list, kListTimeout),
      engines_(context, kReportTimeout, kOrderTimeout),
      publish_timer_(context),
      scheduler_(std::make_unique<AsioScheduler>(context, clock_)),
      sender_(std::make_unique<TransportSender>(transport_)),
      observer_(std::make_unique<Observer>(*this)),
      host_(std::make_unique<CoreHost>(
          self, settings.core, MakeHostSettings(settings),
          CoreHost::Ports{scheduler_.get(), sender_.get(), observer_.get(), &documents_,
                          &machine_list_, &engines_},
          std::random_device{}())) {}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Start() {
  transport_.Start();
  host_->Start();
}

void ControlLoop::OnPayload(const DaemonName& from, const PeerPayload& payload) {
  std::visit([&](const auto& message) { host_->OnPeerMessage(from, message); }, payload);
}

void ControlLoop::SchedulePublish() {
  if (publish_pending_) return;
  publish_pending_ = true;
  publish_timer_.expires_after(kPublishDelay);
  publish_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    publish_pending_ = false;
    tables_.Publish(table_builder_.Build(host_->state()));
    table_published_();
  });
}

Awaitable<ClaimResult> ControlLoop::Claim(std::string key, std::string holder) {
  auto initiate = [this, key = std::move(key), holder = std::move(holder)](auto handler) mutable {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    // The result is handed back to the caller's own thread.
    const auto executor = boost::asio::get_associated_executor(*shared);
    boost::asio::post(
        context_, [this, key = std::move(key), holder = std::move(holder), shared, executor] {
          const std::uint64_t call = next_claim_call_++;
          claim_calls_[call] = [shared, executor](ClaimResult result) {
            boost::asio::post(executor, [shared, result = std::move(result)]() mutable {
              std::move (*shared)(std::move(result));
            });
          };
          host_->Claim(call, key, holder);
        });
  };
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(ClaimResult)>(
      std::move(initiate), boost::asio::use_awaitable);
}

void ControlLoop::Finish(std::string key, std::string holder, KeptAnswer answer) {
  boost::asio::post(context_,
                    [this, key = std::move(key), holder = std::move(holder),
                     answer = std::move(answer)] { host_->FinishClaim(key, holder, answer); });
}

void ControlLoop::GiveBack(std::string key, std::string holder) {
  boost::asio::post(context_, [this, key = std::move(key), holder = std::move(holder)] {
    host_->GiveClaimBack(key, holder);
  });
}

}  // namespace moorfold
