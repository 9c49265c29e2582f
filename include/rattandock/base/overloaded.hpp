#pragma once

namespace rattandock {

/// Builds one visitor for std::visit from several lambdas.
template <typename... Lambdas>
struct Overloaded : Lambdas...
{
    using Lambdas::operator()...;
};

template <typename... Lambdas>
Overloaded(Lambdas...) -> Overloaded<Lambdas...>;

} // namespace rattandock
