#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/fleet_messages.h"
#include "http/http_types.h"

namespace moorfold {

/// A datagram that cannot be decoded as a message of a known build.
struct UndecodableMessage {
  std::string from;          ///< "IP:PORT" of the sender.
  std::uint16_t format = 0;  ///< Format that the datagram states, see common/message_format.h.
  std::string problem;
};

/// Exchanges datagrams between daemons: demand reports and queries to the leader, notices and
/// responses from it. Datagrams may be lost or come from a daemon that has stopped; senders repeat
/// what matters. Not thread-safe.
class DemandChannel {
 public:
  using ReportHandler = std::function<void(DemandReport)>;
  /// @param from "IP:PORT" of the sender.
  using NoticeHandler = std::function<void(const PlacementNotice&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using AnswerHandler = std::function<void(const ChangeAnswer&, const std::string& from)>;
  using QuarantineHandler = std::function<void(const QuarantineNotice&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using SharingHandler = std::function<void(const CreditSharing&, const std::string& from)>;
  using CreditQuestionHandler = std::function<void(const CreditQuestion&, const std::string& from)>;
  using CreditAnswerHandler = std::function<void(const CreditAnswer&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using RelayPlanHandler = std::function<void(const RelayPlan&, const std::string& from)>;
  using ServersQuestionHandler =
      std::function<void(const ServersRequest&, const std::string& from)>;
  using ServersPageHandler = std::function<void(const ServersPage&, const std::string& from)>;
  using ConfigurationQuestionHandler =
      std::function<void(const ConfigurationPartRequest&, const std::string& from)>;
  using ConfigurationPartHandler =
      std::function<void(const ConfigurationPart&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using PermitQuestionHandler = std::function<void(const PermitRequest&, const std::string& from)>;
  using PermitAnswerHandler = std::function<void(const PermitResponse&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using LoadOutlookHandler = std::function<void(const LoadOutlookNotice&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using DetourQueryHandler = std::function<void(const DetourQuery&, const std::string& from)>;
  using DetourOfferHandler = std::function<void(const DetourOffer&, const std::string& from)>;
  using RetryGrantRequestHandler =
      std::function<void(const RetryGrantRequest&, const std::string& from)>;
  using RetryGrantResponseHandler =
      std::function<void(const RetryGrantResponse&, const std::string& from)>;
  using VersionDemandHandler = std::function<void(const VersionDemand&)>;
  using LeadershipOfferHandler = std::function<void(const LeadershipOffer&)>;
  /// Receives the reason why a datagram could not be sent or handled.
  using DropHandler = std::function<void(const std::string& problem)>;
  /// Receives a datagram that could not be decoded and is ignored.
  using UndecodableHandler = std::function<void(const UndecodableMessage&)>;

  /// Handlers by type of message and failure.
  struct Handlers {
    ReportHandler on_report;
    NoticeHandler on_placement_notice;
    AnswerHandler on_change_answer;
    LeadershipOfferHandler on_leadership_offer;
    QuarantineHandler on_quarantine_notice;
    SharingHandler on_credit_sharing;
    CreditQuestionHandler on_credit_question;
    CreditAnswerHandler on_credit_answer;
    RelayPlanHandler on_relay_plan;
    ServersQuestionHandler on_servers_question;
    ServersPageHandler on_servers_page;
    ConfigurationQuestionHandler on_configuration_question;
    ConfigurationPartHandler on_configuration_part;
    PermitQuestionHandler on_permit_question;
    PermitAnswerHandler on_permit_answer;
    LoadOutlookHandler on_load_outlook;
    DetourQueryHandler on_detour_query;
    DetourOfferHandler on_detour_offer;
    RetryGrantRequestHandler on_retry_grant_request;
    RetryGrantResponseHandler on_retry_grant_response;
    VersionDemandHandler on_version_demand;
    DropHandler on_drop;
    UndecodableHandler on_undecodable;
  };

  /// @throws ListenError when the address cannot be bound.
  DemandChannel(boost::asio::io_context& context, const Endpoint& listen, Handlers handlers);

  void Start();
  /// @param to "IP:PORT" of the leader. The report is dropped if the address is invalid.
  void SendReport(const std::string& to, const DemandReport& report);
  /// Sends the entries in as many datagrams as they need; none for no entries.
  /// @param to "IP:PORT" of the leader. Dropped if the address is invalid.
  void SendVersionDemand(const std::string& to, const VersionDemand& demand);
  /// @param to "IP:PORT" of another daemon. The message is dropped if the address is invalid.
  void SendTo(const std::string& to, const FleetMessage& message);
  /// Sends to every daemon that reported within the last 5 seconds.
  void Broadcast(const FleetMessage& message);
  /// @return how many daemons reported within the last minute, as of the last broadcast.
  std::size_t reporters() const { return reporters_.size(); }
  Endpoint endpoint() const;

 private:
  using Time = BootClock::time_point;

  void Receive();
  void HandleDatagram(std::size_t length);
  void Dispatch(FleetMessage message, const std::string& from);
  void Send(const FleetMessage& message, const boost::asio::ip::udp::endpoint& to);
  void SendReport(const boost::asio::ip::udp::endpoint& target, const DemandReport& report);

  static constexpr std::size_t kMaxDatagramBytes = 8 * 1024;

  boost::asio::ip::udp::socket socket_;
  Handlers handlers_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  boost::asio::ip::udp::endpoint from_;
  std::map<boost::asio::ip::udp::endpoint, Time> reporters_;
};

}  // namespace moorfold
