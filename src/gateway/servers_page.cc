#include "gateway/servers_page.h"

#include "relay/change_answer.h"

namespace moorfold {

ServersPage FillPage(const ServersQuestion& question, const ServerDirectory& servers) {
  ServersPage page;
  page.asked_at_us = question.asked_at_us;
  page.after = question.after;
  page.last = question.after;
  std::size_t bytes = 0;
  const ServerDirectory::ById& all = servers.all();
  for (auto next = all.upper_bound(question.after); next != all.end(); ++next) {
    ServerChange server{{}, false, next->second->record()};
    bytes += EncodedBytes(server);
    page.more = bytes > kMostServersBytes && !page.servers.empty();
    if (page.more) break;
    page.last = next->first;
    page.servers.push_back(std::move(server));
  }
  return page;
}

}  // namespace moorfold
