#pragma once

#include <boost/outcome/result.hpp>
#include <boost/system/error_code.hpp>

#include "rattandock/base/finding.hpp"

namespace rattandock {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value, or the findings that prevented it.
template <typename T>
using Checked = outcome::result<T, Findings, outcome::policy::all_narrow>;

/// A value, or the system error that prevented it.
template <typename T>
using IoResult = outcome::result<T, boost::system::error_code, outcome::policy::all_narrow>;

} // namespace rattandock
