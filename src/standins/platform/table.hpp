#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace rattandock::standins {

struct TableLimits
{
    std::size_t maxRows = 100'000;
    /// Keys and values together.
    std::uint64_t maxBytes = 64U << 20U;
    /// Operation ids that are remembered for repeated transactions; the oldest are dropped first.
    std::size_t maxOperations = 100'000;
};

/// A value with the number of the transaction that wrote it. Versions are never reused, also not
/// after a row was deleted and written again.
struct TableRow
{
    std::string value;
    std::uint64_t version = 0;
};

struct TableCheck
{
    std::string key;
    /// 0: the key has no row.
    std::uint64_t version = 0;
};

struct TableWrite
{
    std::string key;
    /// Nothing deletes the row.
    std::optional<std::string> value;
};

struct Transaction
{
    std::string operation;
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
};

/// All writes are in force with this version.
struct Applied
{
    std::uint64_t version = 0;
};

/// No write is in force; holds the keys whose check failed, with their present versions.
struct Conflict
{
    std::vector<TableCheck> present;
};

/// No write is in force: the table would exceed its limits.
struct TableFull
{
};

/// No write is in force: the id was used by a different transaction.
struct OperationReused
{
};

using TransactionResult = std::variant<Applied, Conflict, TableFull, OperationReused>;

/// The platform's transactional table. Thread safety: none; one thread at a time.
class Table
{
public:
    explicit Table(TableLimits limits);

    /// A repeated operation id gets the first result and changes nothing.
    TransactionResult transact(const Transaction &transaction);

    const TableRow *find(const std::string &key) const;
    /// Rows whose key starts with the prefix, in order of key.
    std::vector<std::pair<std::string, TableRow>> withPrefix(std::string_view prefix) const;

private:
    struct Remembered
    {
        std::uint64_t digest = 0;
        TransactionResult result;
    };

    TransactionResult decide(const Transaction &transaction);
    bool fits(const Transaction &transaction) const;
    void apply(const TableWrite &write);

    const TableLimits m_limits;
    std::map<std::string, TableRow, std::less<>> m_rows;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_version = 0;
    std::unordered_map<std::string, Remembered> m_operations;
    std::deque<std::string> m_operationOrder;
};

} // namespace rattandock::standins
