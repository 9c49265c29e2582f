#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rattandock/fleet/membership.hpp"

namespace rattandock::adapters {

/// The rows that VMs share through the platform's tables, as JSON. The key of a row is the VM or
/// the upstream; versions and parts are those of the store. Thread safety: any thread.
std::string encodeMember(const fleet::MemberRow &row);
/// Nothing if the text is not a member's row.
std::optional<fleet::MemberRow> decodeMember(const std::string &key, std::string_view text);

std::string encodeKeeper(const fleet::KeeperRow &row);
std::optional<fleet::KeeperRow> decodeKeeper(const std::string &key, const std::string &part,
                                             std::uint64_t version, std::string_view text);

} // namespace rattandock::adapters
