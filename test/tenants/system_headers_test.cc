// Tests that clients cannot forge the headers by which the system controls servers.

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>

#include "../gateway/pipeline_fixture.h"

namespace moorfold {
namespace {

const std::string kOk =
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\nContent-Length: 1\r\n\r\nx";

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return text;
}

std::string Upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
    return static_cast<char>(std::toupper(character));
  });
  return text;
}

/// Returns the header's value as the server received it, in lower case; empty if absent.
std::string ValueIn(const std::string& head, const std::string& name) {
  const std::string all = Lower(head);
  const std::string prefix = "\r\n" + Lower(name) + ":";
  const std::size_t at = all.find(prefix);
  if (at == std::string::npos) return {};
  const std::size_t begin = at + prefix.size();
  return all.substr(begin, all.find("\r\n", begin) - begin);
}

/// A gateway in front of one server that records the head of each request.
class HeadRecorder {
 public:
  HeadRecorder()
      : server_([this](ScriptedConnection& connection) {
          for (std::string head = connection.ReadHead(); !head.empty();
               head = connection.ReadHead()) {
            head_ = head;
            connection.Write(kOk);
          }
        }) {
    Route open = PipelineFixture::MakeRoute(RouteType::kRepeatable);
    open.open = true;
    fixture_.SetRoutesAndTenants({open}, {Tenant{"t", {}, {}, {DigestOfKey("k")}}});
    fixture_.AddServer("i-1", server_.endpoint());
  }
  std::string HeadFor(const std::string& headers) {
    head_.clear();
    const std::string answer = fixture_.Exchange(PipelineFixture::Request("/p/x", headers));
    REQUIRE(PipelineFixture::Status(answer) == 200);
    return head_;
  }

 private:
  PipelineFixture fixture_;
  std::string head_;
  ScriptedServer server_;
};

TEST_CASE("System-only headers from clients reach no server, in any spelling") {
  HeadRecorder heads;
  const platform::Protocol protocol;
  const std::vector<std::string>& list = protocol.headers().system_only;
  for (const char* needed : {"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch",
                             "X-Expect-Instance", "X-Expect-Version", "X-Request-Priority"})
    CHECK(std::find(list.begin(), list.end(), needed) != list.end());
  for (const std::string& name : list) {
    INFO(name);
    for (const std::string& spelled : {name, Lower(name), Upper(name)}) {
      const std::string head = heads.HeadFor(spelled + ": forged\r\n");
      CHECK(ValueIn(head, name).find("forged") == std::string::npos);
    }
    const std::string twice = heads.HeadFor(name + ": forged\r\n" + Lower(name) + ": forged\r\n");
    CHECK(Lower(twice).find("forged") == std::string::npos);
  }
}

TEST_CASE(
    "Listing a header in Connection neither preserves a forged one nor removes the system's") {
  HeadRecorder heads;
  const std::string head = heads.HeadFor(
      "Connection: X-Expect-Instance, X-Tenant, X-Deadline-Ms\r\nX-Tenant: forged\r\n");
  CHECK(ValueIn(head, "X-Expect-Instance") == " i-1");
  CHECK(ValueIn(head, "X-Tenant").empty());
  CHECK_FALSE(ValueIn(head, "X-Deadline-Ms").empty());
}

TEST_CASE("A client's own headers are forwarded") {
  HeadRecorder heads;
  const std::string head = heads.HeadFor("X-Length-Hint: 7\r\nX-Holdings: mine\r\nX-Kv: mine\r\n");
  CHECK(ValueIn(head, "X-Length-Hint") == " 7");
  CHECK(ValueIn(head, "X-Holdings") == " mine");
  CHECK(ValueIn(head, "X-Kv") == " mine");
}

TEST_CASE("The key is not forwarded to servers, even on routes that need none") {
  HeadRecorder heads;
  CHECK(Lower(heads.HeadFor("Authorization: Bearer secret\r\n")).find("secret") ==
        std::string::npos);
}

TEST_CASE("Random spellings of system-only headers are removed, and no other header is") {
  HeadRecorder heads;
  const platform::Protocol protocol;
  const std::vector<std::string>& list = protocol.headers().system_only;
  const bool held = rc::check([&] {
    std::string name = *rc::gen::elementOf(list);
    for (char& character : name)
      if (*rc::gen::arbitrary<bool>()) character = static_cast<char>(std::toupper(character));
    const std::string blanks = *rc::gen::element<std::string>("", " ", "\t", "  ");
    const std::string head = heads.HeadFor(name + ":" + blanks + "forged\r\nX-Mine: kept\r\n");
    RC_ASSERT(Lower(head).find("forged") == std::string::npos);
    RC_ASSERT(ValueIn(head, "X-Mine") == " kept");
  });
  CHECK(held);
}

}  // namespace
}  // namespace moorfold
