#pragma once

#include <memory>
#include <vector>

#include "fault_proxy.h"

namespace moorfold {

/// How a gateway is cut off from all servers.
enum class ServerCut : std::uint8_t {
  kNone,
  kHang,      ///< Packets are dropped: connections carry nothing and new ones do not come up.
  kReset,     ///< Connections are reset and new ones are refused.
  kRefuseNew  ///< New connections are refused, those that stand live on.
};

/// The links between one server and each gateway: a proxy each, so that a gateway may be cut off
/// while the others still reach the server. One thread.
class ServerLinks {
 public:
  ServerLinks(boost::asio::io_context& context, int gateways, const Endpoint& target);

  void Start();
  /// @return where gateway `number` finds the server.
  Endpoint endpoint(int number) const { return at(number).proxy->endpoint(); }
  void Cut(int gateway, ServerCut cut);
  /// The gateway's machine has that link.
  void SetLink(int gateway, std::shared_ptr<SharedLink> link);

  /// For all gateways, see FaultProxy. Cuts of single gateways last.
  void SetMode(ProxyMode mode);
  void SetTargetGone(bool gone);
  void SilenceStanding();
  void set_target(const Endpoint& target);

 private:
  struct Link {
    std::unique_ptr<FaultProxy> proxy;
    ServerCut cut = ServerCut::kNone;
  };
  const Link& at(int gateway) const { return links_.at(static_cast<std::size_t>(gateway)); }
  void Apply(Link& link) const;

  std::vector<Link> links_;
  bool target_gone_ = false;
};

}  // namespace moorfold
