#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/routing_configuration.h"
#include "fleet/server_advisory.h"
#include "fleet/server_record.h"
#include "http/http_types.h"

namespace moorfold {

/// Names of the headers that a request and its answer carry on a platform.
struct HeaderNames {
  std::string request_id;
  std::string deadline;         ///< Milliseconds left.
  std::string expected_server;  ///< Any other server refuses the request.
  std::string priority;         ///< 0 to 9, 0 first.
  std::string seal;             ///< On every whole answer of a server.
  std::string not_run;          ///< The server did not run the request.
  std::string server_load;      ///< "running,waiting,slots".
  std::string server_instance;  ///< Which incarnation answers a health check or a refusal.
  std::string model;            ///< MODEL or MODEL/ADAPTER.
  std::string prompt_parts;     ///< ID:TOKENS, separated by commas.
  std::string last_event;       ///< The last event that the client has.
  std::string resumes;          ///< Request ID of the attempt that brought a stream's first event.
  std::string tenant;           ///< Name of the tenant for which a server works.
  std::string token_usage;      ///< "IN,OUT": tokens of the prompt, and the most that come out.
  /// By these the system steers servers: which one runs a request and with which weights, in whose
  /// name and how urgently, what is set aside, kept or copied for it. A server takes them at their
  /// word, so what clients send of them is taken off.
  std::vector<std::string> system_only;
};

/// Where things lie in the platform's store.
struct StoreLayout {
  std::string configuration_key;
  std::string server_prefix;
};

/// Status of an answer by which a server says that the request was meant for another one.
constexpr unsigned kMisdirectedStatus = 421;

/// How one platform spells what moorfold says to its store and its servers. Stateless; any thread.
/// @throws std::runtime_error (all Parse functions) when the text is not what it should be.
class FleetProtocol {
 public:
  virtual ~FleetProtocol() = default;
  virtual const HeaderNames& headers() const = 0;
  virtual const StoreLayout& layout() const = 0;
  virtual RoutingConfiguration ParseConfiguration(std::string_view value) const = 0;
  virtual ServerRecord ParseServer(std::string_view id, std::string_view value) const = 0;
  virtual HttpRequest MakeOrder(const ServerOrder& order) const = 0;
  virtual ServerOrderOutcome ReadOrderAnswer(unsigned status) const = 0;
  virtual HttpRequest MakeReportQuery(const std::string& server_id) const = 0;
  virtual ServerStatus ParseReport(std::string_view body) const = 0;
  /// @return what an answer says of its server. What cannot be read is taken as not said.
  virtual ServerAdvisory ReadStatement(const HttpHeaders& headers, unsigned status) const = 0;
};

}  // namespace moorfold
