#pragma once

namespace rattandock {

/// Builds one visitor for std::visit from several lambdas.
template <typename... Lambdas>
struct Overloaded : Lambdas...
{
    using Lambdas::operator()...;
};

} // namespace rattandock
