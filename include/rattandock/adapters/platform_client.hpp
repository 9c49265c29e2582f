#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/core/upstream_spec.hpp"
#include "rattandock/ports/clock.hpp"

namespace rattandock::adapters {

struct PlatformRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

struct PlatformCheck
{
    std::string key;
    /// 0: the key has no row.
    std::uint64_t version = 0;
};

struct PlatformWrite
{
    std::string key;
    /// Nothing deletes the row.
    std::optional<std::string> value;
};

/// Writes that take effect together if all checks hold.
struct PlatformTransaction
{
    /// Unique; a repetition with the same id has no second effect and gets the first result.
    std::string operation;
    std::vector<PlatformCheck> checks;
    std::vector<PlatformWrite> writes;
};

struct PlatformVm
{
    std::string id;
    core::UpstreamLife life{};
};

template <typename T>
struct PlatformDone
{
    T value;
};

/// A check did not hold and nothing was written; holds the versions present then.
struct PlatformConflict
{
    std::vector<PlatformCheck> present;
};

enum class PlatformRefusal : std::uint8_t {
    /// No reply within the deadline. A write cannot have been received completely.
    Unavailable,
    /// Failed too often of late; nothing was sent.
    CircuitOpen,
    /// The platform refused the request as wrong.
    Rejected,
    /// The platform has no room.
    Full,
    /// The reply to a read is not of the protocol.
    BadReply,
};
inline constexpr std::size_t platformRefusalCount = 5;
std::string_view name(PlatformRefusal reason);

/// The request had no effect.
struct PlatformRefused
{
    PlatformRefusal reason{};
};

/// A write may have taken effect, or may yet; never the result of a read.
struct PlatformUnknown
{
};

template <typename T>
using PlatformResult =
        std::variant<PlatformDone<T>, PlatformConflict, PlatformRefused, PlatformUnknown>;

struct PlatformClientOptions
{
    boost::asio::ip::tcp::endpoint address;
    /// One request and its reply.
    Duration tryTimeout = std::chrono::seconds{1};
    /// All tries of a call and the pauses between them.
    Duration deadline = std::chrono::seconds{5};
    Duration firstPause = std::chrono::milliseconds{20};
    /// Retries that each call earns, and the most that can be saved up.
    double retriesPerCall = 0.1;
    double maxRetries = 10;
    /// The circuit opens after this many failed tries in a row.
    unsigned failuresToOpen = 5;
    Duration openTime = std::chrono::seconds{1};
    std::uint64_t maxReplyBytes = 64U << 20U;
    /// Seed of the jitter.
    std::uint64_t seed = 0;
};

/// Client of the platform's table, object store and VM list.
///
/// Each try has a connection of its own, so a late reply reaches no other call. Reads and
/// transactions are tried again; a transaction in doubt is thereby read back by its operation id.
/// An object in doubt is read back and compared. Counter: `platform_calls` by result.
/// Thread safety: all methods may be called from any fiber of an I/O thread, which they suspend.
class PlatformClient
{
public:
    /// Precondition: threads, clock and metrics outlive the client.
    PlatformClient(IoThreads &threads, const ports::Clock &clock, Metrics &metrics,
                   PlatformClientOptions options);
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    ~PlatformClient();

    /// Nothing if the key has no row.
    PlatformResult<std::optional<PlatformRow>> readRow(const std::string &key);
    PlatformResult<std::vector<PlatformRow>> readPrefix(const std::string &prefix);
    /// Done with the version of the rows written.
    PlatformResult<std::uint64_t> transact(const PlatformTransaction &transaction);
    /// Nothing if there is no object of that name.
    PlatformResult<std::optional<std::string>> getObject(const std::string &name);
    PlatformResult<std::monostate> putObject(const std::string &name, const std::string &body);
    PlatformResult<std::vector<PlatformVm>> listVms();

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace rattandock::adapters
