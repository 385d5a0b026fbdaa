#include "fleet/demand_channel.h"

#include <boost/asio/buffer.hpp>

#include "common/boot_clock.h"
#include "http/listen_error.h"

namespace moorfold {

using boost::asio::ip::udp;

namespace {
constexpr std::size_t kEntriesPerDatagram = 24;
constexpr std::chrono::seconds kReporterTimeout{60};
/// A daemon that has not reported for this long has no waiting requests.
constexpr std::chrono::seconds kBroadcastRecency{5};

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
                               if (!error) HandleDatagram(length);
                               Receive();
                             });
}

void DemandChannel::HandleDatagram(std::size_t length) {
  const std::string bytes(buffer_.data(), length);
  const std::string from = ToString(Endpoint{from_.address().to_string(), from_.port()});
  std::optional<FleetMessage> message;
  try {
    message = DecodeMessage<FleetMessage>(bytes);
  } catch (const std::exception& error) {
    // Ignores messages of other builds and malformed datagrams.
    handlers_.on_undecodable({from, FormatOf(bytes), std::string("received: ") + error.what()});
    return;
  }
  try {
    Dispatch(std::move(*message), from);
  } catch (const std::exception& error) {
    // The message contains an invalid value, such as a malformed address.
    handlers_.on_drop(std::string("received: ") + error.what());
  }
}

void DemandChannel::Dispatch(FleetMessage message, const std::string& from) {
  if (auto* report = std::get_if<DemandReport>(&message)) {
    reporters_[from_] = BootClock::now();
    handlers_.on_report(std::move(*report));
  } else if (const auto* placement_notice = std::get_if<PlacementNotice>(&message)) {
    handlers_.on_placement_notice(*placement_notice, from);
  } else if (const auto* change_answer = std::get_if<ChangeAnswer>(&message)) {
    handlers_.on_change_answer(*change_answer, from);
  } else if (const auto* quarantine_notice = std::get_if<QuarantineNotice>(&message)) {
    handlers_.on_quarantine_notice(*quarantine_notice, from);
  } else if (const auto* credit_sharing = std::get_if<CreditSharing>(&message)) {
    handlers_.on_credit_sharing(*credit_sharing, from);
  } else if (const auto* credit_question = std::get_if<CreditQuestion>(&message)) {
    handlers_.on_credit_question(*credit_question, from);
  } else if (const auto* credit_answer = std::get_if<CreditAnswer>(&message)) {
    handlers_.on_credit_answer(*credit_answer, from);
  } else if (const auto* relay_plan = std::get_if<RelayPlan>(&message)) {
    handlers_.on_relay_plan(*relay_plan, from);
  } else if (const auto* servers_question = std::get_if<ServersRequest>(&message)) {
    handlers_.on_servers_question(*servers_question, from);
  } else if (const auto* servers_page = std::get_if<ServersPage>(&message)) {
    handlers_.on_servers_page(*servers_page, from);
  } else if (const auto* configuration_question = std::get_if<ConfigurationPartRequest>(&message)) {
    handlers_.on_configuration_question(*configuration_question, from);
  } else if (const auto* configuration_part = std::get_if<ConfigurationPart>(&message)) {
    handlers_.on_configuration_part(*configuration_part, from);
  } else if (const auto* permit_question = std::get_if<PermitRequest>(&message)) {
    handlers_.on_permit_question(*permit_question, from);
  } else if (const auto* permit_answer = std::get_if<PermitResponse>(&message)) {
    handlers_.on_permit_answer(*permit_answer, from);
  } else if (const auto* load_outlook = std::get_if<LoadOutlookNotice>(&message)) {
    handlers_.on_load_outlook(*load_outlook, from);
  } else if (const auto* detour_query = std::get_if<DetourQuery>(&message)) {
    handlers_.on_detour_query(*detour_query, from);
  } else if (const auto* detour_offer = std::get_if<DetourOffer>(&message)) {
    handlers_.on_detour_offer(*detour_offer, from);
  } else if (const auto* grant_request = std::get_if<RetryGrantRequest>(&message)) {
    handlers_.on_retry_grant_request(*grant_request, from);
  } else if (const auto* grant_response = std::get_if<RetryGrantResponse>(&message)) {
    handlers_.on_retry_grant_response(*grant_response, from);
  } else if (const auto* version_demand = std::get_if<VersionDemand>(&message)) {
    handlers_.on_version_demand(*version_demand);
  } else {
    handlers_.on_leadership_offer(std::get<LeadershipOffer>(message));
  }
}

void DemandChannel::Send(const FleetMessage& message, const udp::endpoint& to) {
  const std::string bytes = EncodeMessage(message);
  boost::system::error_code error;  // A full send buffer drops the datagram, as the network may.
  socket_.send_to(boost::asio::buffer(bytes), to, 0, error);
  if (error) handlers_.on_drop("not sent: " + error.message());
}

void DemandChannel::SendTo(const std::string& to, const FleetMessage& message) {
  try {
    Send(message, Resolve(to));
  } catch (const std::exception& error) {
    // The address comes from another daemon and may be invalid.
    handlers_.on_drop(std::string("not sent: ") + error.what());
  }
}

void DemandChannel::SendReport(const std::string& to, const DemandReport& report) {
  try {
    SendReport(Resolve(to), report);
  } catch (const std::exception& error) {
    // The address comes from the leader's record or from another daemon and may be invalid.
    handlers_.on_drop(std::string("not sent: ") + error.what());
  }
}

void DemandChannel::SendReport(const udp::endpoint& target, const DemandReport& report) {
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

void DemandChannel::SendVersionDemand(const std::string& to, const VersionDemand& demand) {
  VersionDemand part{demand.sender, {}};
  for (const VersionDemandEntry& entry : demand.entries) {
    part.entries.push_back(entry);
    if (part.entries.size() < VersionDemand::kMaxEntries) continue;
    SendTo(to, part);
    part.entries.clear();
  }
  if (!part.entries.empty()) SendTo(to, part);
}

void DemandChannel::Broadcast(const FleetMessage& message) {
  const auto now = BootClock::now();
  std::erase_if(reporters_,
                [&](const auto& reporter) { return now - reporter.second > kReporterTimeout; });
  for (const auto& [endpoint, seen] : reporters_)
    if (now - seen < kBroadcastRecency) Send(message, endpoint);
}

}  // namespace moorfold
