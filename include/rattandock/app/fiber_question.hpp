#pragma once

#include <boost/asio/post.hpp>
#include <boost/fiber/future.hpp>
#include <memory>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/app/decision_loop.hpp"

namespace rattandock::app {

/// Runs the function on the decision thread and suspends the calling fiber until it has returned.
/// The result comes back through the caller's io_context, so that fibers and their futures are
/// touched by one thread only. Precondition: the calling thread is one of an IoThreads.
template <typename Function>
auto askAndWait(DecisionLoop &loop, Function function)
{
    using Result = std::invoke_result_t<Function, core::Dispatcher &, TimePoint>;
    const auto promise = std::make_shared<boost::fibers::promise<Result>>();
    auto future = promise->get_future();
    loop.ask([promise, &io = adapters::IoThreads::currentIo(),
              function = std::move(function)](core::Dispatcher &dispatcher, TimePoint now) {
        boost::asio::post(io, [promise, result = function(dispatcher, now)]() mutable {
            promise->set_value(std::move(result));
        });
    });
    return future.get();
}

} // namespace rattandock::app
