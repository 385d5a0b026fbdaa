#pragma once

#include <boost/json.hpp>
#include <string>

#include "ports/json_codec.h"
#include "ports/key_value_store.h"

namespace moorfold::etcd {

/// Base64 as etcd's JSON gateway writes bytes. @throws DecodeError.
std::string EncodeBytes(std::string_view bytes);
std::string DecodeBytes(std::string_view text);

/// etcd writes 64-bit integers as JSON strings and leaves out zeros. @throws DecodeError.
std::int64_t ReadInteger(const boost::json::object& object, std::string_view name);

/// etcd tells no era: all its revisions and leases are of era 0.
inline StoreRevision RevisionOf(std::int64_t number) { return {0, number}; }
inline LeaseId LeaseOf(std::int64_t number) { return {0, number}; }

boost::json::value WriteKeyValue(const KeyValue& entry);
/// @throws DecodeError.
KeyValue ReadKeyValue(const boost::json::value& json);

boost::json::value WriteTransaction(const Transaction& transaction);
/// @throws DecodeError.
Transaction ReadTransaction(const boost::json::value& json);

boost::json::value WriteRange(const KeyRange& range);
/// @throws DecodeError.
KeyRange ReadRange(const boost::json::object& json);

boost::json::value WriteBatch(const WatchBatch& batch);
/// @throws DecodeError.
WatchBatch ReadBatch(const boost::json::object& result);

}  // namespace moorfold::etcd
