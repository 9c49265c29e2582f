// Simulated environment of the VMs: upstreams, network and platform.
#include "contract_world_test.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::core::test {

using namespace std::chrono_literals;

void ContractWorld::perform(Process &process, Action &action)
{
    std::visit(
            Overloaded{[&](StartTask &it) { startTask(process, it); },
                       [&](StopTask &it) {
                           m_running[{process.number, it.attempt}] = false;
                       },
                       [&](AnswerCaller &it) { m_checker.requestAnswered(it.request, it.outcome); },
                       [&](SendToPeer &it) { sendToPeer(process, it); },
                       [&](ReadTable &it) { accessTable(process, it); },
                       [&](TransactTable &it) { accessTable(process, it); },
                       [&](Note &it) {
                           m_counts["notes: " + std::string{name(it.kind)} + ' '
                                    + std::string{it.reason}] += 1;
                       },
                       [&](Stopped &) {
                           scheduleAfter(5ms, [this, number = process.number] {
                               completePlannedStop(number);
                           });
                       }},
            action);
}

void ContractWorld::startTask(Process &process, const StartTask &task)
{
    const int number = process.number;
    const auto finish = [this, number, task](Duration span, const AttemptResult &result) {
        scheduleAfter(span, [this, number, task, result] {
            const auto it = m_running.find({number, task.attempt});
            const bool stopped = !it->second;
            m_running.erase(it);
            post(number,
                 AttemptEnded{task.attempt,
                              stopped ? AttemptResult{AttemptFailed{AttemptFailure::ConnectionLost}}
                                      : result,
                              50ms, false});
        });
    };
    m_running[{number, task.attempt}] = true;
    const bool faulty = chance(m_upstreamFaults + 2);
    const int fault = std::uniform_int_distribution<int>{0, 3}(m_random);
    if (faulty && fault <= 1) {
        count("upstream refusals");
        return finish(delay(0, 20), AttemptNotStarted{NotStartedReason::UpstreamRefused});
    }
    if (faulty && fault == 2) {
        count("upstream resets");
        if (chance(50)) {
            m_checker.taskStarted(task.job, task.task, task.payload);
        }
        return finish(delay(0, 50), AttemptFailed{AttemptFailure::ConnectionLost});
    }
    m_checker.taskStarted(task.job, task.task, task.payload);
    if (faulty) {
        count("upstream failures");
        return finish(delay(0, 100), AttemptFailed{AttemptFailure::BadStatus});
    }
    finish(delay(20, chance(10) ? 3000 : 400), AttemptCompleted{ContractChecker::expectedResult(
                                                       task.job, task.task.value(), task.payload)});
}

void ContractWorld::sendToPeer(Process &process, const SendToPeer &message)
{
    std::size_t to = 0;
    while (vmName(to) != message.peer) {
        ++to;
    }
    const bool heartbeat = std::holds_alternative<Heartbeat>(message.message);
    if (m_cut[process.slot][to] || chance(m_messageLoss)) {
        return heartbeat ? void() : count("peer messages lost");
    }
    const bool late = chance(m_messageLoss / 3 + 1);
    if (late && !heartbeat) {
        count("peer messages delayed");
    }
    scheduleAfter(late ? delay(100, 2500) : delay(0, 3),
                  [this, from = process.slot, to, it = message.message, number = process.number] {
                      // The connections of a replaced process are closed; messages in flight are
                      // lost.
                      if (!m_cut[from][to] && at(from).number == number) {
                          post(at(to).number, PeerMessageReceived{vmName(from), it});
                      }
                  });
}

void ContractWorld::accessTable(Process &process, const ReadTable &read)
{
    accessTable(process.number, read.operation, [this, read]() -> Event {
        return TableRowsRead{read.operation, m_table.read(read.prefix)};
    });
}

void ContractWorld::accessTable(Process &process, const TransactTable &transaction)
{
    accessTable(process.number, transaction.operation, [this, transaction]() -> Event {
        return TableTransacted{transaction.operation,
                               m_table.transact(transaction.checks, transaction.writes)};
    });
}

template <typename Apply>
void ContractWorld::accessTable(int process, const TableOperationId &operation, Apply apply)
{
    if (m_platformUnreachable[m_processes[static_cast<std::size_t>(process)]->slot]) {
        // An unreachable platform either fails the request soon or never replies.
        if (chance(50)) {
            scheduleAfter(delay(1, 50), [this, process, operation] {
                post(process, TableOperationFailed{operation});
            });
        }
        return;
    }
    const bool slow = chance(m_replyLoss / 2);
    if (slow) {
        count("platform requests delayed");
    }
    scheduleAfter(slow ? delay(50, 3000) : delay(1, 5), [this, process, operation, apply] {
        const Event reply = apply();
        const bool lost = chance(m_replyLoss);
        if (lost) {
            count("platform replies lost");
        }
        if (!lost || chance(30)) {
            scheduleAfter(delay(1, 5), [this, process, operation, reply, lost] {
                post(process, lost ? Event{TableOperationFailed{operation}} : reply);
            });
        }
    });
}

void ContractWorld::completePlannedStop(int number)
{
    Process &stopped = *m_processes[static_cast<std::size_t>(number)];
    if (!stopped.alive) {
        return;
    }
    if (!stopped.paused && m_checker.openRequestCount(number) > 0) {
        throw ContractViolation("process stopped with unanswered requests");
    }
    terminate(stopped);
    if (at(stopped.slot).number == number) {
        startProcess(stopped.slot);
    }
}

} // namespace rattandock::core::test
