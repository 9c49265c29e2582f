#include "standins/platform/table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattandock::standins {

namespace {

/// Lengths keep neighbouring fields apart.
std::uint64_t digestOf(const Transaction &transaction)
{
    std::string text;
    const auto add = [&text](const std::string &field) {
        text += std::to_string(field.size()) + ':' + field;
    };
    for (const TableCheck &it : transaction.checks) {
        add(it.key);
        text += std::to_string(it.version) + ';';
    }
    text += '|';
    for (const TableWrite &it : transaction.writes) {
        add(it.key);
        text += it.value ? '=' : '-';
        add(it.value.value_or(""));
    }
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

Table::Table(TableLimits limits)
    : m_limits(limits)
{
}

TransactionResult Table::transact(const Transaction &transaction)
{
    const std::uint64_t digest = digestOf(transaction);
    if (const auto it = m_operations.find(transaction.operation); it != m_operations.end()) {
        return it->second.digest == digest ? it->second.result : OperationReused{};
    }
    TransactionResult result = decide(transaction);
    if (std::holds_alternative<TableFull>(result)) {
        // Not remembered, so that the same operation may succeed once there is room.
        return result;
    }
    m_operations.emplace(transaction.operation, Remembered{digest, result});
    m_operationOrder.push_back(transaction.operation);
    if (m_operationOrder.size() > m_limits.maxOperations) {
        m_operations.erase(m_operationOrder.front());
        m_operationOrder.pop_front();
    }
    return result;
}

TransactionResult Table::decide(const Transaction &transaction)
{
    Conflict conflict;
    for (const TableCheck &it : transaction.checks) {
        const TableRow *row = find(it.key);
        const std::uint64_t present = row == nullptr ? 0 : row->version;
        if (present != it.version) {
            conflict.present.push_back({it.key, present});
        }
    }
    if (!conflict.present.empty()) {
        return conflict;
    }
    if (!fits(transaction)) {
        return TableFull{};
    }
    ++m_version;
    for (const TableWrite &it : transaction.writes) {
        apply(it);
    }
    return Applied{m_version};
}

bool Table::fits(const Transaction &transaction) const
{
    std::size_t rows = m_rows.size();
    std::uint64_t bytes = m_bytes;
    for (const TableWrite &it : transaction.writes) {
        if (const TableRow *row = find(it.key)) {
            bytes -= it.key.size() + row->value.size();
            --rows;
        }
        if (it.value) {
            bytes += it.key.size() + it.value->size();
            ++rows;
        }
    }
    return rows <= m_limits.maxRows && bytes <= m_limits.maxBytes;
}

void Table::apply(const TableWrite &write)
{
    if (const auto it = m_rows.find(write.key); it != m_rows.end()) {
        m_bytes -= it->first.size() + it->second.value.size();
        m_rows.erase(it);
    }
    if (write.value) {
        m_bytes += write.key.size() + write.value->size();
        m_rows.emplace(write.key, TableRow{*write.value, m_version});
    }
}

const TableRow *Table::find(const std::string &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? nullptr : &it->second;
}

std::vector<std::pair<std::string, TableRow>> Table::withPrefix(std::string_view prefix) const
{
    std::vector<std::pair<std::string, TableRow>> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix);
         ++it) {
        rows.emplace_back(*it);
    }
    return rows;
}

} // namespace rattandock::standins
