#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// A caller's right to form job ids whose home is one incarnation of one VM.
/// Text form: `v1.VM.INCARNATION.ISSUED.LIFETIME.CHECK`, numbers in hexadecimal, times in
/// milliseconds of the home's monotonic clock.
struct HomeToken
{
    VmId vm;
    Incarnation incarnation;
    TimePoint issued;
    Duration lifetime{};
    /// HMAC over the rest; only the home can check it.
    std::uint64_t check = 0;
};

/// The token and the caller's own key of a job id in home form.
struct HomeJobId
{
    HomeToken token;
    std::string key;
};

/// Nothing if the id is not in home form. Bounds: VM 64 characters, key 1 to 128 characters.
std::optional<HomeJobId> parseHomeJobId(const JobId &id);

std::string format(const HomeToken &token);

/// The secret of one incarnation, known to no other process.
using TokenSecret = std::array<unsigned char, 32>;

/// Issues tokens for one incarnation and checks them. Holds no state per job.
/// Thread safety: const methods may run at the same time.
class TokenAuthority
{
public:
    TokenAuthority(VmId vm, Incarnation incarnation, Duration lifetime, const TokenSecret &secret);

    HomeToken issue(TimePoint now) const;
    bool isOwn(const HomeToken &token) const;
    /// Precondition: isOwn(token). Compares in constant time.
    bool isGenuine(const HomeToken &token) const;

private:
    std::uint64_t checkCode(const HomeToken &token) const;

    VmId m_vm;
    Incarnation m_incarnation;
    Duration m_lifetime;
    TokenSecret m_secret;
};

} // namespace rattandock::core
