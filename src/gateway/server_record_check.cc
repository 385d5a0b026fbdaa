#include "gateway/server_record_check.h"

#include <boost/asio/ip/address.hpp>
#include <stdexcept>
#include <string>

#include "relay/change_answer.h"

namespace moorfold {

namespace {

/// Limit of each name in a record, in bytes: the longest key of the store.
constexpr std::size_t kMaxNameBytes = 200;

void CheckName(const std::string& name, const char* field) {
  if (name.size() > kMaxNameBytes)
    throw std::runtime_error(std::string(field) + " is longer than " +
                             std::to_string(kMaxNameBytes) + " bytes");
}

void CheckPresent(const std::string& name, const char* field) {
  if (name.empty()) throw std::runtime_error(std::string(field) + " is empty");
}

}  // namespace

void CheckServerRecord(const ServerRecord& record) {
  CheckPresent(record.id, "id");
  CheckName(record.id, "id");
  CheckPresent(record.service, "service");
  CheckName(record.service, "service");
  CheckName(record.zone, "zone");
  CheckName(record.software_version, "version");
  boost::system::error_code no_address;
  boost::asio::ip::make_address(record.endpoint.address, no_address);
  if (no_address || record.endpoint.address.find('\0') != std::string::npos)
    throw std::runtime_error("address is no IP address");
  if (record.endpoint.port == 0) throw std::runtime_error("the port of the address is 0");
  if (EncodedBytes({{}, false, record}) > kMaxServersBytes)
    throw std::runtime_error("models and adapters take more than one datagram");
}

}  // namespace moorfold
