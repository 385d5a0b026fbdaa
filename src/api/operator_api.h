#pragma once

#include <string>

#include "host/core_host.h"
#include "http/http_server.h"

namespace moorfold {

/// The operators' calls, answered from the control thread:
///   POST /operator/plan     an intent as YAML; answers the plan
///   POST /operator/confirm  {"plan_id": ID}; puts the plan in force
///   GET  /operator/status   members, replicas, loads, revisions of this daemon's zone
class OperatorApi {
 public:
  /// @param host outlives this object.
  explicit OperatorApi(CoreHost& host) : host_(host) {}

  /// Control thread only.
  Awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  Awaitable<HttpResponse> MakePlanFor(std::string intent_text);
  Awaitable<HttpResponse> Confirm(std::string body);
  HttpResponse Status() const;
  bool ClaimsServed() const;

  CoreHost& host_;
};

}  // namespace moorfold
