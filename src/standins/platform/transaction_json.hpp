#pragma once

#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"
#include "standins/platform/table.hpp"

namespace rattandock::standins {

/// Reads the body of `POST /table/transact`. Errors: every finding with its JSON path. A key may
/// be written once only.
Checked<Transaction> parseTransaction(std::string_view body);

/// `applied` with `version`, or `conflicts`, or `error`.
std::string formatResult(const TransactionResult &result);

/// 200 applied, 409 conflict, 422 operation reused, 507 table full.
unsigned statusOf(const TransactionResult &result);

} // namespace rattandock::standins
