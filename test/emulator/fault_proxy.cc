#include "fault_proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include "common/boot_clock.h"
#include "http/bound_acceptor.h"

namespace moorfold {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::chrono::milliseconds kDelay{150};
constexpr std::size_t kChunk = 16 * 1024;

tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}
}  // namespace

struct FaultProxy::Pair {
  explicit Pair(asio::io_context& context) : caller(context), target(context) {}
  void Reset() {
    error_code ignored;
    for (tcp::socket* socket : {&caller, &target}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  tcp::socket caller;
  tcp::socket target;
  bool silent = false;
};

FaultProxy::FaultProxy(asio::io_context& context, Endpoint target)
    : context_(context),
      target_(std::move(target)),
      acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      address_(acceptor_.local_endpoint()),
      mode_changed_(context.get_executor()) {}

void FaultProxy::Start() { asio::co_spawn(context_, Accept(), asio::detached); }

Endpoint FaultProxy::endpoint() const { return {"127.0.0.1", address_.port()}; }

void FaultProxy::SetMode(ProxyMode mode) {
  mode_ = mode;
  if (mode == ProxyMode::kRefuse) ResetAll();
  mode_changed_.NotifyAll();
}

void FaultProxy::SetLink(std::shared_ptr<SharedLink> link, Machine machine) {
  link_ = std::move(link);
  machine_ = machine;
}

void FaultProxy::SetTargetGone(bool gone) {
  SetRefusesNew(gone);
  if (gone) ResetAll();
}

void FaultProxy::SetRefusesNew(bool refuses) {
  if (refuses != listening_) return;
  if (refuses)
    StopListening();
  else
    Listen();
}

void FaultProxy::Listen() {
  acceptor_.listen();
  listening_ = true;
  Start();
}

void FaultProxy::StopListening() {
  error_code ignored;
  acceptor_.close(ignored);
  acceptor_ = BindAcceptor(context_, address_);
  listening_ = false;
}

void FaultProxy::SetUnreachable(bool unreachable) {
  if (unreachable == !queue_fillers_.empty()) return;
  StopListening();
  queue_fillers_.clear();
  if (!unreachable) {
    Listen();
    return;
  }
  SilenceStanding();
  // Nobody accepts: with an accept queue of one, the kernel leaves later requests unanswered.
  acceptor_.listen(0);
  constexpr std::size_t kFillers = 3;
  queue_fillers_.reserve(kFillers);
  for (std::size_t filler = 0; filler < kFillers; ++filler) {
    queue_fillers_.emplace_back(context_);
    queue_fillers_.back().async_connect(address_, [](const error_code&) {});
  }
}

void FaultProxy::ResetAll() {
  for (const std::shared_ptr<Pair>& pair : pairs_) pair->Reset();
}

void FaultProxy::SilenceStanding() {
  for (const std::shared_ptr<Pair>& pair : pairs_) pair->silent = true;
}

Awaitable<void> FaultProxy::Accept() {
  while (true) {
    auto pair = std::make_shared<Pair>(context_);
    error_code error;
    co_await acceptor_.async_accept(pair->caller, asio::redirect_error(use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    if (mode_ == ProxyMode::kRefuse)
      pair->Reset();
    else
      asio::co_spawn(context_, Serve(pair), asio::detached);
  }
}

Awaitable<void> FaultProxy::Serve(std::shared_ptr<Pair> pair) {
  error_code error;
  co_await pair->target.async_connect(ToTcp(target_), asio::redirect_error(use_awaitable, error));
  if (error) {
    pair->Reset();
    co_return;
  }
  pairs_.insert(pair);
  asio::co_spawn(context_, Pump(pair, true), asio::detached);
  co_await Pump(pair, false);
  pairs_.erase(pair);
}

Awaitable<void> FaultProxy::Carry(std::size_t bytes) {
  const std::chrono::duration<double> taken(static_cast<double>(bytes) / bytes_per_second_);
  link_free_at_ = std::max(link_free_at_, BootClock::now()) +
                  std::chrono::duration_cast<BootClock::duration>(taken);
  BootTimer timer(context_, link_free_at_);
  co_await timer.async_wait(use_awaitable);
}

Awaitable<void> FaultProxy::Pump(std::shared_ptr<Pair> pair, bool to_target) {
  tcp::socket& from = to_target ? pair->caller : pair->target;
  tcp::socket& to = to_target ? pair->target : pair->caller;
  std::array<char, kChunk> chunk{};
  error_code error;
  while (!error) {
    const std::size_t got = co_await from.async_read_some(
        asio::buffer(chunk), asio::redirect_error(use_awaitable, error));
    if (error) break;
    if (pair->silent) continue;
    while (mode_ == ProxyMode::kSilent || (mode_ == ProxyMode::kOneWay && !to_target))
      co_await mode_changed_.Wait();
    if (mode_ == ProxyMode::kDelay) co_await Sleep(kDelay);
    if (!to_target && bytes_per_second_ > 0) co_await Carry(got);
    if (link_) {
      const bool to_machine = to_target == (machine_ == Machine::kTarget);
      co_await link_->Carry(
          to_machine ? SharedLink::Direction::kToMachine : SharedLink::Direction::kFromMachine,
          got);
    }
    co_await asio::async_write(to, asio::buffer(chunk.data(), got),
                               asio::redirect_error(use_awaitable, error));
  }
  error_code ignored;
  if (error == asio::error::eof)
    to.shutdown(tcp::socket::shutdown_send, ignored);
  else
    pair->Reset();
}

}  // namespace moorfold
