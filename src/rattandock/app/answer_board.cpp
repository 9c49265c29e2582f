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
    table.waiting.emplace(request, Promise{});
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
                          if (it != table.waiting.end()) {
                              it->second.set_value(std::move(answer.outcome));
                          }
                      });
}

} // namespace rattandock::app
