#include "server_links.h"

namespace moorfold {

ServerLinks::ServerLinks(boost::asio::io_context& context, int gateways, const Endpoint& target) {
  for (int gateway = 0; gateway < gateways; ++gateway)
    links_.push_back({std::make_unique<FaultProxy>(context, target), ServerCut::kNone});
}

void ServerLinks::Start() {
  for (Link& link : links_) link.proxy->Start();
}

void ServerLinks::Apply(Link& link) const {
  link.proxy->SetUnreachable(link.cut == ServerCut::kHang && !target_gone_);
  if (link.cut == ServerCut::kHang && !target_gone_) return;
  link.proxy->SetRefusesNew(target_gone_ || link.cut != ServerCut::kNone);
  if (target_gone_ || link.cut == ServerCut::kReset) link.proxy->ResetAll();
}

void ServerLinks::Cut(int gateway, ServerCut cut) {
  Link& link = links_.at(static_cast<std::size_t>(gateway));
  link.cut = cut;
  Apply(link);
}

void ServerLinks::SetLink(int gateway, std::shared_ptr<SharedLink> link) {
  at(gateway).proxy->SetLink(std::move(link), FaultProxy::Machine::kCaller);
}

void ServerLinks::SetMode(ProxyMode mode) {
  for (Link& link : links_) link.proxy->SetMode(mode);
}

void ServerLinks::SetTargetGone(bool gone) {
  target_gone_ = gone;
  for (Link& link : links_) Apply(link);
}

void ServerLinks::SilenceStanding() {
  for (Link& link : links_) link.proxy->SilenceStanding();
}

void ServerLinks::set_target(const Endpoint& target) {
  for (Link& link : links_) link.proxy->set_target(target);
}

}  // namespace moorfold
