#include "resumable_stream.h"

#include <charconv>
#include <sstream>

#include "common/boot_clock.h"
#include "emulated_platform.h"

namespace moorfold {

using std::chrono::milliseconds;

std::string ResumablePath::Target() const {
  return EmulatedPlatform::kResumablePath + std::to_string(events) + "/" + name;
}

std::optional<ResumablePath> ResumablePath::Parse(std::string_view target) {
  const std::string_view prefix = EmulatedPlatform::kResumablePath;
  if (!target.starts_with(prefix)) return std::nullopt;
  target.remove_prefix(prefix.size());
  ResumablePath path;
  const auto [end, error] =
      std::from_chars(target.data(), target.data() + target.size(), path.events);
  if (error != std::errc()) return std::nullopt;
  path.name = target.substr(static_cast<std::size_t>(end - target.data()) + 1);
  return path;
}

std::string MakeStreamEvent(int number, const std::string& server, const std::string& version,
                            const std::string& stream) {
  return "id: " + std::to_string(number) + "\ndata: " + server + " " + version + " " + stream +
         "\n\n";
}

HttpRequest ResumableStream::MakeRequest(Deadline deadline) const {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - BootClock::now()).count();
  HttpRequest request{"POST",
                      path_.Target(),
                      {{"Host", EmulatedPlatform::kHost},
                       {"X-Request-Id", attempt_id()},
                       {"X-Deadline-Ms", std::to_string(left)},
                       {"X-Model", model_}},
                      "body of " + path_.name};
  if (!begun()) return request;
  request.headers.push_back({"Last-Event-Id", std::to_string(last_event_)});
  if (resumes_) request.headers.push_back({"Resumes", *resumes_});
  return request;
}

int ResumableStream::TakeEvents(std::string& pending, int gateway_number) {
  int taken = 0;
  for (std::size_t end = pending.find("\n\n"); end != std::string::npos;
       end = pending.find("\n\n"), ++taken) {
    std::istringstream fields(pending.substr(0, end));
    pending.erase(0, end + 2);
    std::string label;
    VersionChecker::Event event;
    std::string stream;
    fields >> label >> event.number >> label >> event.server >> event.version >> stream;
    event.attempt = attempt_id();
    event.gateway = gateway_number;
    checker_.Received(path_.name, event, stream == path_.name);
    last_event_ = event.number;
    if (!version_.empty()) continue;
    version_ = event.version;
    resumes_ = attempt_id();
  }
  return taken;
}

Awaitable<StreamTry> ResumableStream::Try(HttpClient& client, Endpoint gateway, int gateway_number,
                                          Deadline deadline, int leave_after) {
  ++tries_;
  StreamTry result;
  HttpSendOptions options;
  options.deadline = deadline;
  options.fresh_connection = true;
  HttpRequest request = MakeRequest(deadline);
  try {
    const auto exchange = co_await client.Open(gateway, std::move(request), options);
    result.status = exchange->status();
    std::string pending;
    while (leave_after == 0 || result.events < leave_after) {
      const std::string bytes = co_await exchange->ReadSome();
      if (bytes.empty()) {
        result.complete = result.status == 200 && complete();
        break;
      }
      pending += bytes;
      if (result.status == 200) result.events += TakeEvents(pending, gateway_number);
    }
  } catch (const HttpError&) {
    // A break is what the tries are about: the events that came count.
  }
  co_return result;
}

}  // namespace moorfold
