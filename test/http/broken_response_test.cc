// Responses that begin while their requests are still being sent, and responses that do not end.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <optional>

#include "common/boot_clock.h"
#include "http/http_client.h"
#include "http/upstream_connection.h"
#include "scripted_server.h"

namespace moorfold {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

/// More than the socket buffers of both sides hold.
constexpr std::size_t kUploadBytes = 64 * 1024 * 1024;
const std::string kHeadWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// How reading a response ended.
struct ReadResult {
  std::string body;
  std::optional<HttpStage> failed_at;
  bool peer_ended = false;
};

ReadResult Run(asio::io_context& context, const std::function<Awaitable<std::string>()>& exchange) {
  ReadResult result;
  asio::co_spawn(context, exchange, [&](const std::exception_ptr& thrown, std::string body) {
    result.body = std::move(body);
    if (!thrown) return;
    try {
      std::rethrow_exception(thrown);
    } catch (const HttpError& error) {
      result.failed_at = error.stage();
      result.peer_ended = error.peer_ended();
    }
  });
  context.run();
  return result;
}

/// Sends an upload and reads the response.
/// @param begun is fulfilled once the first bytes of the body have been read.
ReadResult Upload(const Endpoint& endpoint, std::promise<void>& begun) {
  asio::io_context context(1);
  UpstreamConnection connection(context, endpoint);
  return Run(context, [&]() -> Awaitable<std::string> {
    co_await connection.Connect(BootClock::now() + seconds(20));
    connection.BeginSend({"POST", "/", {}, ""},
                         std::make_shared<const std::string>(kUploadBytes, 'u'));
    co_await connection.ReadHead();
    std::string body = co_await connection.ReadSome();
    begun.set_value();
    body += co_await connection.ReadUpTo(kUploadBytes);
    co_return body;
  });
}

TEST_CASE("A response without a length that is reset during the upload is not taken for complete") {
  // Whether the write or the read meets the reset varies.
  [[maybe_unused]] const int repetition = GENERATE(range(0, 8));
  std::promise<void> begun;
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kHeadWithoutLength + "half");
    begun.get_future().wait();
    connection.Reset();
  });
  const ReadResult result = Upload(server.endpoint(), begun);
  CHECK(result.failed_at == HttpStage::kReadingAnswer);
  CHECK(result.peer_ended);
}

TEST_CASE("A response without a length that ends during the upload is complete") {
  std::promise<void> begun;
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kHeadWithoutLength + "whole");
    connection.FinishWriting();
    connection.ReadBody(kUploadBytes);
  });
  const ReadResult result = Upload(server.endpoint(), begun);
  CHECK_FALSE(result.failed_at);
  CHECK(result.body == "whole");
}

TEST_CASE("A client that could not send its whole request rejects a response without a length") {
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kHeadWithoutLength + "half");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    connection.Reset();
  });
  asio::io_context context(1);
  HttpClient client(context);
  const ReadResult result = Run(context, [&]() -> Awaitable<std::string> {
    HttpSendOptions options;
    options.deadline = BootClock::now() + seconds(20);
    HttpRequest request{"POST", "/", {}, std::string(kUploadBytes, 'u')};
    const HttpResponse response =
        co_await client.Send(server.endpoint(), std::move(request), options);
    co_return response.body;
  });
  CHECK(result.failed_at.has_value());
}

TEST_CASE("A client gives up a response that does not end, whatever part of it goes on") {
  const std::string line(1000, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    const char* name;
    std::string prefix;
    std::string filler;
  };
  const Case each = GENERATE_COPY(Case{"the head", head + "X-Long: ", line},
                                  Case{"the headers", head, "X-More: 1\r\n"},
                                  Case{"the body", chunked, "3e8\r\n" + line + "\r\n"},
                                  Case{"a body without a length", head + "\r\n", line},
                                  Case{"a chunk extension", chunked + "5;a=", line},
                                  Case{"the trailers", chunked + "0\r\n", "X-More: 1\r\n"});
  CAPTURE(each.name);
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(each.prefix);
    while (connection.Write(each.filler)) continue;
  });
  asio::io_context context(1);
  HttpClient client(context);
  const auto began = BootClock::now();
  const ReadResult result = Run(context, [&]() -> Awaitable<std::string> {
    HttpSendOptions options;
    options.deadline = began + seconds(20);
    options.most_body_bytes = 64 * 1024;
    HttpRequest request;
    const HttpResponse response =
        co_await client.Send(server.endpoint(), std::move(request), options);
    co_return response.body;
  });
  CHECK(result.failed_at.has_value());
  CHECK(BootClock::now() - began < seconds(10));
}

TEST_CASE("A surplus response is not taken for the response to the next request") {
  const bool at_once = GENERATE(true, false);
  const auto response = [](const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  std::atomic<int> requests{0};
  std::atomic<int> surplus{0};
  std::atomic<int> answered{0};
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      const int number = ++requests;
      const std::string own = response(std::to_string(number));
      connection.Write(at_once ? own + own : own);
      while (!at_once && answered < number) std::this_thread::yield();
      if (!at_once) connection.Write(own);
      ++surplus;
    }
  });
  asio::io_context context(1);
  HttpClient client(context);
  for (const int number : {1, 2, 3}) {
    context.restart();
    const ReadResult result = Run(context, [&]() -> Awaitable<std::string> {
      HttpSendOptions options;
      options.deadline = BootClock::now() + seconds(20);
      HttpRequest request;
      const HttpResponse answer =
          co_await client.Send(server.endpoint(), std::move(request), options);
      co_return answer.body;
    });
    CHECK(result.body == std::to_string(number));
    ++answered;
    while (surplus < number) std::this_thread::yield();
  }
}

TEST_CASE(
    "A surplus response that comes after the next call was sent is not taken for its answer") {
  const auto answer = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 1\r\n\r\n" + id;
  };
  ScriptedServer server([&](ScriptedConnection& connection) {
    std::string earlier;
    for (std::string head = connection.ReadHead(); !head.empty(); head = connection.ReadHead()) {
      const std::string id(1, head.at(head.find("X-Id: ") + 6));
      if (!earlier.empty()) connection.Write(answer(earlier));
      connection.Write(answer(id));
      earlier = id;
    }
  });
  asio::io_context context(1);
  HttpClient client(context);
  const auto call = [&](const std::string& id) {
    context.restart();
    return Run(context, [&client, &server, id]() -> Awaitable<std::string> {
      HttpRequest request;
      request.headers = {{"X-Id", id}};
      HttpSendOptions options;
      options.deadline = BootClock::now() + seconds(20);
      options.response_id = HttpHeader{"X-Id", id};
      const HttpResponse response =
          co_await client.Send(server.endpoint(), std::move(request), options);
      co_return response.body;
    });
  };
  CHECK(call("1").body == "1");
  CHECK(call("2").body == "2");
  CHECK(call("3").body == "3");
}

}  // namespace
}  // namespace moorfold
