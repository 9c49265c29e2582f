#include "rattandock/app/answer_board.hpp"

#include <boost/asio/post.hpp>

namespace rattandock::app {

AnswerBoard::AnswerBoard(adapters::IoThreads &threads)
    : m_threads(threads)
    , m_tables(threads.count())
{
}

CallerRequestId AnswerBoard::open()
{
    const std::size_t thread = adapters::IoThreads::current();
    Table &table = m_tables[thread];
    const CallerRequestId request{table.next++ * m_tables.size() + thread};
    Promise &promise = table.waiting[request];
    if (table.closed) {
        promise.set_value(core::Unknown{core::UnknownReason::HomeLost});
    }
    return request;
}

core::JobOutcome AnswerBoard::wait(CallerRequestId request)
{
    Table &table = m_tables[adapters::IoThreads::current()];
    auto future = table.waiting.at(request).get_future();
    core::JobOutcome outcome = future.get();
    table.waiting.erase(request);
    return outcome;
}

void AnswerBoard::answer(core::AnswerCaller answer)
{
    const std::size_t thread = answer.request.value() % m_tables.size();
    boost::asio::post(m_threads.io(thread),
                      [&table = m_tables[thread], answer = std::move(answer)]() mutable {
                          const auto it = table.waiting.find(answer.request);
                          if (it != table.waiting.end() && !table.closed) {
                              it->second.set_value(std::move(answer.outcome));
                          }
                      });
}

void AnswerBoard::answerAllUnknown()
{
    for (std::size_t n = 0; n < m_tables.size(); ++n) {
        boost::asio::post(m_threads.io(n), [&table = m_tables[n]] {
            table.closed = true;
            for (auto &[request, promise] : table.waiting) {
                try {
                    promise.set_value(core::Unknown{core::UnknownReason::HomeLost});
                } catch (const boost::fibers::promise_already_satisfied &) {
                    // Its answer is there and its fiber has not run yet.
                    continue;
                }
            }
        });
    }
}

} // namespace rattandock::app
