#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "rattandock/core/platform_table.hpp"

namespace rattandock::core::test {

/// In-memory platform table. Row versions are never reused and transactions are atomic.
class FakeTable
{
public:
    std::vector<TableRow> read(const std::string &prefix) const
    {
        std::vector<TableRow> found;
        for (auto it = m_rows.lower_bound(prefix);
             it != m_rows.end() && it->first.starts_with(prefix); ++it) {
            found.push_back(it->second);
        }
        return found;
    }

    bool transact(const std::vector<TableCheck> &checks, const std::vector<TableWrite> &writes)
    {
        const auto holds = [this](const TableCheck &it) {
            const auto row = m_rows.find(it.key);
            return (row == m_rows.end() ? 0 : row->second.version) == it.version;
        };
        if (!std::ranges::all_of(checks, holds)) {
            return false;
        }
        ++m_version;
        for (const TableWrite &it : writes) {
            if (it.value) {
                m_rows[it.key] = {it.key, *it.value, m_version};
            } else {
                m_rows.erase(it.key);
            }
        }
        return true;
    }

private:
    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace rattandock::core::test
