#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rattandock/base/time.hpp"

namespace rattandock::ports {

/// A row of one of the store's tables.
struct StoreRow
{
    std::string part;
    std::string key;
    std::string value;
    /// Grows with each write of any row; 0 for no row.
    std::uint64_t version = 0;
    /// The row was removed with this version; only in a StoreChanges.
    bool isRemoved = false;
};

struct StoreRows
{
    std::vector<StoreRow> rows;
    /// Version of the store at the moment of the reading.
    std::uint64_t version = 0;
    /// Of changes only: the answer is full, and there may be more.
    bool isPartial = false;
};

/// Rows that changed since a version, in order.
using StoreChanges = StoreRows;

enum class StoreFailure : std::uint8_t {
    /// No answer in time; a write may have taken effect or may yet.
    NoAnswer,
    /// Nothing was done.
    Refused,
    /// The changes since the given version are no longer known.
    HistoryGone,
    /// The answer could not be read.
    BadAnswer,
};
inline constexpr std::size_t storeFailureCount = 4;

constexpr std::string_view name(StoreFailure failure)
{
    constexpr std::string_view names[] = {"no-answer", "refused", "history-gone", "bad-answer"};
    return names[static_cast<std::size_t>(failure)];
}

struct StoreWrite
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    /// The row must have this version, 0 for no row; unconditional if absent.
    std::optional<std::uint64_t> expectedVersion;
};

struct StoreCommitted
{
    /// Version of the rows written.
    std::uint64_t version = 0;
};

/// A condition did not hold and nothing was written.
struct StoreConflict
{
    /// The rows of the conditions as they are; rows that do not exist are left out.
    std::vector<StoreRow> rows;
};

using ReadResult = std::variant<StoreRows, StoreFailure>;
using WriteResult = std::variant<StoreCommitted, StoreConflict, StoreFailure>;

/// The platform's transactional tables.
/// Thread safety: called from fibers of one I/O thread, which a call suspends.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /// All rows of a part of a table.
    virtual ReadResult read(const std::string &table, const std::string &part) = 0;
    /// Waits up to `wait` for changes after the version.
    virtual ReadResult changes(const std::string &table, std::uint64_t after, Duration wait) = 0;
    /// Parts of a table that have rows; nothing if the call failed.
    virtual std::optional<std::vector<std::string>> parts(const std::string &table) = 0;
    /// All writes or none. Precondition: they have one part.
    virtual WriteResult write(const std::vector<StoreWrite> &writes) = 0;
};

} // namespace rattandock::ports
