// Tests for reading the caller's key from the Authorization header.

#include "tenants/presented_key.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

TEST_CASE("A key is read only from a single Authorization header with the Bearer scheme") {
  struct Case {
    HttpHeaders headers;
    KeyState state;
  };
  const std::vector<Case> cases = {
      {{}, KeyState::kNone},
      {{{"X-Api-Key", "k"}}, KeyState::kNone},
      {{{"Authorization", "Bearer k"}}, KeyState::kOne},
      {{{"authorization", "bearer  k"}}, KeyState::kOne},
      {{{"AUTHORIZATION", "BEARER\tk"}}, KeyState::kOne},
      {{{"Authorization", "Basic k"}}, KeyState::kUnreadable},
      {{{"Authorization", "Bearer"}}, KeyState::kUnreadable},
      {{{"Authorization", "Bearer "}}, KeyState::kUnreadable},
      {{{"Authorization", "Bearerk"}}, KeyState::kUnreadable},
      {{{"Authorization", "k"}}, KeyState::kUnreadable},
      {{{"Authorization", ""}}, KeyState::kUnreadable},
      {{{"Authorization", "Bearer k l"}}, KeyState::kUnreadable},
      {{{"Authorization", "Bearer k,Bearer k"}}, KeyState::kUnreadable},
      {{{"Authorization", "Bearer k"}, {"authorization", "Bearer k"}}, KeyState::kUnreadable}};
  for (const Case& each : cases) {
    INFO((each.headers.empty() ? "none" : each.headers.front().value));
    const PresentedKey presented = ParsePresentedKey(each.headers);
    CHECK(presented.state == each.state);
    if (each.state == KeyState::kOne) CHECK(presented.digest == DigestOfKey("k"));
  }
}

}  // namespace
}  // namespace moorfold
