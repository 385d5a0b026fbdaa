#include "peer/transport.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <map>

#include "common/boot_clock.h"
#include "http/listen_error.h"
#include "ports/json_codec.h"

namespace moorfold {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagram = 1200;
constexpr std::size_t kMaxFrame = 16 * 1024 * 1024;
constexpr std::size_t kMaxQueuedFrames = 256;
constexpr std::size_t kLengthBytes = 4;
constexpr int kBindAttempts = 50;

std::string WithLength(const std::string& frame) {
  std::array<unsigned char, kLengthBytes> length{};
  boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(frame.size()));
  return std::string(reinterpret_cast<const char*>(length.data()), length.size()) + frame;
}

}  // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<PeerTransport::Impl> {
 public:
  Impl(asio::io_context& context, const Endpoint& listen, FrameCodec codec, Clock clock,
       Handler handler)
      : context_(context),
        acceptor_(context),
        datagrams_(context),
        codec_(std::move(codec)),
        clock_(std::move(clock)),
        handler_(std::move(handler)) {
    Bind(listen);
  }

  void Start() {
    asio::co_spawn(context_, ReceiveDatagrams(shared_from_this()), asio::detached);
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
  }

  void Stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    datagrams_.close(ignored);
    for (auto& [endpoint, peer] : peers_) peer->wake.cancel();
  }

  void Send(const Endpoint& to, const PeerPayload& payload) {
    const std::string frame = codec_.Seal(EncodePayload(payload), clock_());
    ++statistics_.messages_sent;
    statistics_.bytes_sent += frame.size();
    if (frame.size() <= kMaxDatagram)
      SendDatagram(to, frame);
    else
      SendOverStream(to, frame);
  }

  Endpoint endpoint() const { return endpoint_; }
  TransportStatistics statistics() const { return statistics_; }

 private:
  struct Peer {
    explicit Peer(asio::io_context& context) : wake(context, Deadline::max()) {}
    std::deque<std::string> queue;
    BootTimer wake;
  };

  void Bind(const Endpoint& listen) {
    const asio::ip::address address = asio::ip::make_address(listen.address);
    for (int attempt = 1;; ++attempt) {
      error_code error;
      try {
        acceptor_ = tcp::acceptor(context_, tcp::endpoint(address, listen.port));
      } catch (const boost::system::system_error& failed) {
        throw ListenError(listen, failed.code());
      }
      const std::uint16_t port = acceptor_.local_endpoint().port();
      datagrams_ = udp::socket(context_, udp::v4());
      datagrams_.bind(udp::endpoint(address, port), error);
      if (!error) {
        endpoint_ = {listen.address, port};
        return;
      }
      if (listen.port != 0 || attempt == kBindAttempts) throw ListenError(listen, error);
    }
  }

  void SendDatagram(const Endpoint& to, const std::string& frame) {
    error_code error;
    const udp::endpoint target(asio::ip::make_address(to.address, error), to.port);
    if (!error) datagrams_.send_to(asio::buffer(frame), target, 0, error);
    if (error) ++statistics_.dropped;
  }

  void SendOverStream(const Endpoint& to, const std::string& frame) {
    std::shared_ptr<Peer>& peer = peers_[to];
    if (!peer) {
      peer = std::make_shared<Peer>(context_);
      asio::co_spawn(context_, WriteQueue(shared_from_this(), to, peer), asio::detached);
    }
    if (peer->queue.size() >= kMaxQueuedFrames) {
      ++statistics_.dropped;
      return;
    }
    peer->queue.push_back(WithLength(frame));
    peer->wake.cancel();
  }

  /// Connects on demand; a queue whose peer cannot be reached is dropped.
  static Awaitable<void> WriteQueue(std::shared_ptr<Impl> self, Endpoint to,
                                    std::shared_ptr<Peer> peer) {
    tcp::socket socket(self->context_);
    while (!self->stopped_) {
      error_code error;
      if (peer->queue.empty()) {
        co_await peer->wake.async_wait(asio::redirect_error(use_awaitable, error));
        continue;
      }
      if (!socket.is_open()) {
        const tcp::endpoint target(asio::ip::make_address(to.address, error), to.port);
        if (!error)
          co_await socket.async_connect(target, asio::redirect_error(use_awaitable, error));
      }
      if (!error)
        co_await asio::async_write(socket, asio::buffer(peer->queue.front()),
                                   asio::redirect_error(use_awaitable, error));
      if (error) {
        error_code ignored;
        socket.close(ignored);
        self->statistics_.dropped += peer->queue.size();
        peer->queue.clear();
      } else {
        peer->queue.pop_front();
      }
    }
  }

  static Awaitable<void> ReceiveDatagrams(std::shared_ptr<Impl> self) {
    std::string buffer(64 * 1024, '\0');
    while (!self->stopped_) {
      udp::endpoint sender;
      error_code error;
      const std::size_t size = co_await self->datagrams_.async_receive_from(
          asio::buffer(buffer), sender, asio::redirect_error(use_awaitable, error));
      if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
        co_return;
      if (!error) self->Deliver(std::string_view(buffer).substr(0, size));
    }
  }

  static Awaitable<void> Accept(std::shared_ptr<Impl> self) {
    while (!self->stopped_) {
      tcp::socket socket(self->context_);
      error_code error;
      co_await self->acceptor_.async_accept(socket, asio::redirect_error(use_awaitable, error));
      if (error) co_return;
      asio::co_spawn(self->context_, ReadStream(self, std::move(socket)), asio::detached);
    }
  }

  static Awaitable<void> ReadStream(std::shared_ptr<Impl> self, tcp::socket socket) {
    while (!self->stopped_) {
      std::array<unsigned char, kLengthBytes> length{};
      error_code error;
      co_await asio::async_read(socket, asio::buffer(length),
                                asio::redirect_error(use_awaitable, error));
      if (error) co_return;
      const std::size_t size = boost::endian::load_big_u32(length.data());
      if (size > kMaxFrame) {
        ++self->statistics_.malformed;
        co_return;
      }
      std::string frame(size, '\0');
      co_await asio::async_read(socket, asio::buffer(frame),
                                asio::redirect_error(use_awaitable, error));
      if (error) co_return;
      const bool accepted = self->Deliver(frame);
      if (!accepted) co_return;
    }
  }

  bool Deliver(std::string_view frame) {
    statistics_.bytes_received += frame.size();
    const OpenedFrame opened = codec_.Open(frame, clock_());
    switch (opened.rejection) {
      case FrameRejection::kMalformed:
        ++statistics_.malformed;
        return false;
      case FrameRejection::kForeign:
        ++statistics_.foreign;
        return false;
      case FrameRejection::kReplayed:
      case FrameRejection::kTooOld:
        ++statistics_.replayed;
        return false;
      case FrameRejection::kNone:
        break;
    }
    try {
      PeerPayload payload = DecodePayload(opened.payload);
      ++statistics_.messages_received;
      handler_(opened.from, std::move(payload));
    } catch (const DecodeError&) {
      ++statistics_.malformed;
      return false;
    }
    return true;
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  udp::socket datagrams_;
  FrameCodec codec_;
  Clock clock_;
  Handler handler_;
  Endpoint endpoint_;
  std::map<Endpoint, std::shared_ptr<Peer>> peers_;
  TransportStatistics statistics_;
  bool stopped_ = false;
};

PeerTransport::PeerTransport(asio::io_context& context, const Endpoint& listen, FrameCodec codec,
                             Clock clock, Handler handler)
    : impl_(std::make_shared<Impl>(context, listen, std::move(codec), std::move(clock),
                                   std::move(handler))) {}
PeerTransport::~PeerTransport() { impl_->Stop(); }
void PeerTransport::Start() { impl_->Start(); }
void PeerTransport::Send(const Endpoint& to, const PeerPayload& payload) {
  impl_->Send(to, payload);
}
Endpoint PeerTransport::endpoint() const { return impl_->endpoint(); }
TransportStatistics PeerTransport::statistics() const { return impl_->statistics(); }

}  // namespace moorfold
