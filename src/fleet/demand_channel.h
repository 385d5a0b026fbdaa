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

/// A datagram that is no message of a known build.
struct UnreadMessage {
  std::string from;          ///< "IP:PORT" of the sender.
  std::uint16_t format = 0;  ///< That it states, see common/message_format.h.
  std::string problem;
};

/// Datagrams between daemons: demand and questions to the leader, notices and answers from it. Any
/// datagram may be lost or come from a daemon that is gone; what matters is said again. One thread.
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
      std::function<void(const ConfigurationRequest&, const std::string& from)>;
  using ConfigurationPartHandler =
      std::function<void(const ConfigurationPart&, const std::string& from)>;
  /// @param from "IP:PORT" of the sender.
  using PermitQuestionHandler = std::function<void(const PermitQuestion&, const std::string& from)>;
  using PermitAnswerHandler = std::function<void(const PermitAnswer&, const std::string& from)>;
  using OfferHandler = std::function<void(const LeadershipOffer&)>;
  /// Hears why a datagram could not be sent.
  using DropHandler = std::function<void(const std::string& problem)>;
  /// Hears of a datagram that could not be read, and is left alone.
  using UnreadHandler = std::function<void(const UnreadMessage&)>;

  /// What to do with each kind of message.
  struct Handlers {
    ReportHandler reported;
    NoticeHandler noticed;
    AnswerHandler answered;
    OfferHandler offered;
    QuarantineHandler quarantined;
    SharingHandler shared;
    CreditQuestionHandler credit_asked;
    CreditAnswerHandler credit_answered;
    RelayPlanHandler planned;
    ServersQuestionHandler servers_asked;
    ServersPageHandler servers_answered;
    ConfigurationQuestionHandler configuration_asked;
    ConfigurationPartHandler configuration_answered;
    PermitQuestionHandler permit_asked;
    PermitAnswerHandler permit_answered;
    DropHandler dropped;
    UnreadHandler unread;
  };

  /// @throws ListenError when the address cannot be bound.
  DemandChannel(boost::asio::io_context& context, const Endpoint& listen, Handlers handlers);

  void Start();
  /// @param to "IP:PORT" of the leader.
  void SendReport(const std::string& to, const DemandReport& report);
  /// @param to "IP:PORT" of another daemon. An address that is none is left out.
  void SendTo(const std::string& to, const FleetMessage& message);
  /// To every daemon that reported lately.
  void Broadcast(const FleetMessage& message);
  /// @return how many daemons reported within the last minute.
  std::size_t reporters() const { return reporters_.size(); }
  Endpoint endpoint() const;

 private:
  using Time = BootClock::time_point;

  void Receive();
  void Take(std::size_t length);
  void Dispatch(FleetMessage message, const std::string& from);
  void Send(const FleetMessage& message, const boost::asio::ip::udp::endpoint& to);

  static constexpr std::size_t kLongestDatagram = 8 * 1024;

  boost::asio::ip::udp::socket socket_;
  Handlers handlers_;
  std::array<char, kLongestDatagram> buffer_{};
  boost::asio::ip::udp::endpoint from_;
  std::map<boost::asio::ip::udp::endpoint, Time> reporters_;
};

}  // namespace moorfold
