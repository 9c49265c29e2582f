#pragma once

#include <cstdint>
#include <vector>

#include "rattandock/fleet/upstream_ledger.hpp"

namespace rattandock::fleet::test {

inline const Resources taskNeed{MilliCores{27'000}, Megabytes{64}, Accelerators{0}};

/// The ledger of one upstream that has sent its first report.
struct LedgerFixture
{
    LedgerFixture()
    {
        ledger.step(now, out);
        answerPoll({});
    }

    static UpstreamEntry entry()
    {
        return {UpstreamId{"u"},
                ServiceId{"s"},
                ZoneId{"z"},
                "127.0.0.1:1",
                false,
                {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}},
                {"a"}};
    }
    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const LedgerOutput &it : out) {
            if (const auto *const one = std::get_if<T>(&it)) {
                found.push_back(*one);
            }
        }
        return found;
    }
    PollOrder lastPoll() const { return all<PollOrder>().back(); }
    void answerPoll(RunReport report)
    {
        report.clock = UpstreamTime{now.time_since_epoch() + 1s};
        report.processStart = processStart;
        const PollNumber number = lastPoll().number;
        now += 1ms;
        ledger.pollAnswered(number, report, now, out);
    }
    void failPoll(OrderResult result = OrderResult::NoAnswer)
    {
        const PollNumber number = lastPoll().number;
        out.clear();
        ledger.pollFailed(number, result, now, out);
    }
    RunName name(std::uint32_t task) const { return {"job", 0, 0, task}; }
    void start(std::uint32_t task)
    {
        ledger.startSent({JobNumber{1}, TaskIndex{task}}, name(task), RunNumber{1}, taskNeed, now);
    }
    void startAnswered(std::uint32_t task, OrderResult result)
    {
        ledger.startAnswered(name(task), RunNumber{1}, result, std::nullopt, now, out);
    }

    TimePoint now{10s};
    UpstreamProcessStart processStart{7};
    LedgerOutputs out;
    UpstreamLedger ledger{entry(), 3, {}};
};

} // namespace rattandock::fleet::test
