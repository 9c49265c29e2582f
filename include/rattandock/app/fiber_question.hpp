#pragma once

#include <boost/fiber/future.hpp>
#include <memory>

#include "rattandock/app/decision_loop.hpp"

namespace rattandock::app {

/// Runs the function on the decision thread and suspends the calling fiber until it has returned.
template <typename Function>
auto askAndWait(DecisionLoop &loop, Function function)
{
    using Result = std::invoke_result_t<Function, core::Dispatcher &, TimePoint>;
    const auto promise = std::make_shared<boost::fibers::promise<Result>>();
    auto future = promise->get_future();
    loop.ask(
            [promise, function = std::move(function)](core::Dispatcher &dispatcher, TimePoint now) {
                promise->set_value(function(dispatcher, now));
            });
    return future.get();
}

} // namespace rattandock::app
