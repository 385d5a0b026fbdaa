#include "fleet/demand_channel.h"

#include <boost/asio/buffer.hpp>

#include "common/boot_clock.h"
#include "http/listen_error.h"

namespace moorfold {

using boost::asio::ip::udp;

namespace {
constexpr std::size_t kEntriesPerDatagram = 24;
constexpr std::chrono::seconds kReporterLife{60};
/// A daemon that has not reported for so long has no request that waits.
constexpr std::chrono::seconds kListening{5};

/// @param address "IP:PORT".
udp::endpoint Resolve(const std::string& address) {
  const Endpoint endpoint = ParseEndpoint(address);
  return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}
}  // namespace

DemandChannel::DemandChannel(boost::asio::io_context& context, const Endpoint& listen,
                             Handlers handlers)
    : socket_(context, udp::v4()), handlers_(std::move(handlers)) {
  boost::system::error_code error;
  socket_.bind({boost::asio::ip::make_address(listen.address), listen.port}, error);
  if (error) throw ListenError(listen, error);
  socket_.non_blocking(true);
}

void DemandChannel::Start() { Receive(); }

Endpoint DemandChannel::endpoint() const {
  const udp::endpoint local = socket_.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void DemandChannel::Receive() {
  socket_.async_receive_from(boost::asio::buffer(buffer_), from_,
                             [this](const boost::system::error_code& error, std::size_t length) {
                               if (error == boost::asio::error::operation_aborted) return;
                               if (!error) Take(length);
                               Receive();
                             });
}

void DemandChannel::Take(std::size_t length) {
  const std::string bytes(buffer_.data(), length);
  const std::string from = ToString(Endpoint{from_.address().to_string(), from_.port()});
  std::optional<FleetMessage> message;
  try {
    message = DecodeMessage<FleetMessage>(bytes);
  } catch (const std::exception& error) {  // Of another build, or no message: left alone.
    handlers_.unread({from, FormatOf(bytes), std::string("received: ") + error.what()});
    return;
  }
  try {
    Dispatch(std::move(*message), from);
  } catch (const std::exception& error) {  // It names what cannot be, as an address that is none.
    handlers_.dropped(std::string("received: ") + error.what());
  }
}

void DemandChannel::Dispatch(FleetMessage message, const std::string& from) {
  if (auto* report = std::get_if<DemandReport>(&message)) {
    reporters_[from_] = BootClock::now();
    handlers_.reported(std::move(*report));
  } else if (const auto* notice = std::get_if<PlacementNotice>(&message)) {
    handlers_.noticed(*notice, from);
  } else if (const auto* answer = std::get_if<ChangeAnswer>(&message)) {
    handlers_.answered(*answer, from);
  } else if (const auto* cases = std::get_if<QuarantineNotice>(&message)) {
    handlers_.quarantined(*cases, from);
  } else if (const auto* sharing = std::get_if<CreditSharing>(&message)) {
    handlers_.shared(*sharing, from);
  } else if (const auto* credit = std::get_if<CreditQuestion>(&message)) {
    handlers_.credit_asked(*credit, from);
  } else if (const auto* granted = std::get_if<CreditAnswer>(&message)) {
    handlers_.credit_answered(*granted, from);
  } else if (const auto* plan = std::get_if<RelayPlan>(&message)) {
    handlers_.planned(*plan, from);
  } else if (const auto* servers = std::get_if<ServersRequest>(&message)) {
    handlers_.servers_asked(*servers, from);
  } else if (const auto* page = std::get_if<ServersPage>(&message)) {
    handlers_.servers_answered(*page, from);
  } else if (const auto* text = std::get_if<ConfigurationRequest>(&message)) {
    handlers_.configuration_asked(*text, from);
  } else if (const auto* part = std::get_if<ConfigurationPart>(&message)) {
    handlers_.configuration_answered(*part, from);
  } else if (const auto* turn = std::get_if<PermitQuestion>(&message)) {
    handlers_.permit_asked(*turn, from);
  } else if (const auto* given = std::get_if<PermitAnswer>(&message)) {
    handlers_.permit_answered(*given, from);
  } else {
    handlers_.offered(std::get<LeadershipOffer>(message));
  }
}

void DemandChannel::Send(const FleetMessage& message, const udp::endpoint& to) {
  const std::string bytes = EncodeMessage(message);
  boost::system::error_code error;  // A full buffer loses it, as the network may.
  socket_.send_to(boost::asio::buffer(bytes), to, 0, error);
  if (error) handlers_.dropped("not sent: " + error.message());
}

void DemandChannel::SendTo(const std::string& to, const FleetMessage& message) {
  try {
    Send(message, Resolve(to));
  } catch (const std::exception& error) {  // Told by another daemon.
    handlers_.dropped(std::string("not sent: ") + error.what());
  }
}

void DemandChannel::SendReport(const std::string& to, const DemandReport& report) {
  const udp::endpoint target = Resolve(to);
  DemandReport part = report;
  part.entries.clear();
  part.question.reset();
  for (const DemandEntry& entry : report.entries) {
    part.entries.push_back(entry);
    if (part.entries.size() < kEntriesPerDatagram) continue;
    Send(part, target);
    part.entries.clear();
  }
  part.question = report.question;
  if (!part.entries.empty() || report.entries.empty() || part.question) Send(part, target);
}

void DemandChannel::Broadcast(const FleetMessage& message) {
  const auto now = BootClock::now();
  std::erase_if(reporters_,
                [&](const auto& reporter) { return now - reporter.second > kReporterLife; });
  for (const auto& [endpoint, seen] : reporters_)
    if (now - seen < kListening) Send(message, endpoint);
}

}  // namespace moorfold
