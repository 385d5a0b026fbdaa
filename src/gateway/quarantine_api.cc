#include "gateway/quarantine_api.h"

#include "http/http_status.h"

namespace moorfold {

namespace {

constexpr std::string_view kReleasePath = "/quarantine/release/";
/// Maximum rows of the list, which is read by operators; the metrics tell the total.
constexpr std::size_t kMaxListed = 1'000;

HttpResponse Text(unsigned status, std::string text) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

std::string Line(const quarantine::ListedCase& listed) {
  std::string versions;
  for (const std::string& version : listed.versions)
    versions += (versions.empty() ? "" : ",") + version;
  const auto time_left = std::chrono::duration_cast<std::chrono::seconds>(listed.time_left);
  return ToString(listed.fingerprint) + " " + listed.service + " " +
         std::to_string(listed.servers) + " " + std::to_string(time_left.count()) + " " + versions +
         "\n";
}

HttpResponse List(const QuarantineService& quarantine) {
  std::string text;
  std::size_t listed = 0;
  for (const quarantine::ListedCase& listed_case : quarantine.tracker().List(BootClock::now())) {
    if (listed++ == kMaxListed) break;
    text += Line(listed_case);
  }
  return Text(http_status::kOk, text);
}

HttpResponse Release(const std::string& digits, QuarantineService& quarantine) {
  const std::optional<Fingerprint> fingerprint = ParseFingerprint(digits);
  if (!fingerprint)
    return Text(http_status::kBadRequest, "'" + digits +
                                              "' is no fingerprint; give the 32 hexadecimal digits "
                                              "of a line of the list\n");
  if (!quarantine.tracker().HasCase(*fingerprint))
    return Text(http_status::kNotFound,
                "nothing is known of " + digits +
                    "; it may have been released or forgotten: look at the list again\n");
  quarantine.Note(quarantine::Released{*fingerprint});
  return Text(http_status::kOk, "released " + digits + "\n");
}

}  // namespace

HttpResponse AnswerQuarantineCall(const HttpRequest& request, QuarantineService& quarantine) {
  if (request.target == kQuarantinePath && request.method == "GET") return List(quarantine);
  if (request.target.starts_with(kReleasePath) && request.method == "POST")
    return Release(request.target.substr(kReleasePath.size()), quarantine);
  return Text(http_status::kNotFound,
              "GET /quarantine lists, POST /quarantine/release/FINGERPRINT releases\n");
}

}  // namespace moorfold
