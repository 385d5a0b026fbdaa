#include "gateway/servers_page.h"

#include "relay/change_answer.h"

namespace moorfold {

void FillServersPage(ServersPage& page, const ServerDirectory& servers) {
  page.last = page.after;
  std::size_t bytes = 0;
  const ServerDirectory::ById& all = servers.all();
  for (auto next = all.upper_bound(page.after); next != all.end(); ++next) {
    ServerChange server{{}, false, next->second->record()};
    bytes += EncodedBytes(server);
    page.more = bytes > kMaxServersBytes && !page.servers.empty();
    if (page.more) break;
    page.last = next->first;
    page.servers.push_back(std::move(server));
  }
}

}  // namespace moorfold
