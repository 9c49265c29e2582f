#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// Allows a caller to create job ids whose home is one incarnation of one VM.
/// Text form: `v1.VM.INCARNATION.ISSUED.LIFETIME.CHECK`, numbers in hexadecimal, times in
/// milliseconds of the home's monotonic clock.
struct HomeToken
{
    VmId vm;
    Incarnation incarnation;
    TimePoint issued;
    Duration lifetime{};
    /// Truncated HMAC over the other fields. Only the home holds the key to verify it.
    std::uint64_t check = 0;
};

/// A job id in home form, split into the token and the key chosen by the caller.
struct HomeJobId
{
    HomeToken token;
    std::string key;
};

/// Returns `std::nullopt` if the id is not in home form. The VM name has at most 64 characters, the
/// key 1 to 128 characters.
std::optional<HomeJobId> parseHomeJobId(const JobId &id);

std::string format(const HomeToken &token);

/// HMAC key of one incarnation. It is not shared with any other process.
using TokenSecret = std::array<unsigned char, 32>;

/// Issues and verifies the tokens of one incarnation. Keeps no state per job.
/// Thread safety: const methods may run at the same time.
class TokenAuthority
{
public:
    TokenAuthority(VmId vm, Incarnation incarnation, Duration lifetime, const TokenSecret &secret);

    HomeToken issue(TimePoint now) const;
    bool isOwn(const HomeToken &token) const;
    /// Verifies the HMAC in constant time. Precondition: isOwn(token).
    bool isGenuine(const HomeToken &token) const;

private:
    std::uint64_t checkCode(const HomeToken &token) const;

    VmId m_vm;
    Incarnation m_incarnation;
    Duration m_lifetime;
    TokenSecret m_secret;
};

} // namespace rattandock::core
