/// Compares rules of fleet/placement in a replay of the upstreams of one VM, with
/// fixed seeds. Prints the means for each rule, and the mean difference to today's rule with its
/// standard error over the seeds.
#include "../src/rattandock/fleet/upstream_replay_test.hpp"

#include <benchmark/benchmark.h>

#include <cstdio>
#include <iterator>
#include <string>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::upstream_replay;

namespace {

struct Rules
{
    std::string name;
    RoomRank roomRank = rankByBestFit;
    OverdueRule overdueRule = decideByFactor;
};

/// Measured shares of one replay.
using Shares = std::vector<double>;

double shareThatFits(const std::vector<std::uint32_t> &sizes, double room)
{
    const auto end = std::ranges::upper_bound(sizes, room);
    return sizes.empty() ? 0
                         : static_cast<double>(std::distance(sizes.begin(), end))
                                   / static_cast<double>(sizes.size());
}

double meanOf(const std::vector<std::uint32_t> &sizes)
{
    double sum = 0;
    for (const std::uint32_t it : sizes) {
        sum += it;
    }
    return sizes.empty() ? 1 : sum / static_cast<double>(sizes.size());
}

/// Expected number of recent sizes that fit into the room one after another.
double expectedTasks(const std::vector<std::uint32_t> &sizes, double room)
{
    const double mean = meanOf(sizes);
    double chance = 1;
    double tasks = 0;
    for (; room > 0 && chance > 0; room -= mean) {
        chance *= shareThatFits(sizes, room);
        tasks += chance;
    }
    return tasks;
}

/// Expected CPU that recent sizes use of the room, one after another.
double expectedUse(const std::vector<std::uint32_t> &sizes, double room)
{
    const double mean = meanOf(sizes);
    double chance = 1;
    double use = 0;
    for (; room > 0; room -= mean) {
        const auto end = std::ranges::upper_bound(sizes, room);
        if (end == sizes.begin()) {
            break;
        }
        chance *= shareThatFits(sizes, room);
        use += chance * meanOf({sizes.begin(), end});
    }
    return use;
}

std::uint32_t rankByTasks(const std::vector<std::uint32_t> &sizes, std::uint32_t before,
                          std::uint32_t left)
{
    const double loss = expectedTasks(sizes, before) - expectedTasks(sizes, left);
    return static_cast<std::uint32_t>(1e5 * (10 + loss));
}

std::uint32_t rankByUse(const std::vector<std::uint32_t> &sizes, std::uint32_t before,
                        std::uint32_t left)
{
    const double loss = expectedUse(sizes, before) - expectedUse(sizes, left);
    return static_cast<std::uint32_t>(1e6 + loss);
}

/// CPU that stays unused if the largest recent size that fits is started next.
std::uint32_t rankByWaste(const std::vector<std::uint32_t> &sizes, std::uint32_t /*before*/,
                          std::uint32_t left)
{
    const auto end = std::ranges::upper_bound(sizes, left);
    const std::uint32_t waste = end == sizes.begin() ? left : left - *std::prev(end);
    return waste * 64 + left / 1000;
}

std::uint32_t rankByWorstFit(const std::vector<std::uint32_t> & /*sizes*/, std::uint32_t /*before*/,
                             std::uint32_t left)
{
    return 1'000'000 - left;
}

/// Replays each rule with seeds 301 to 300 + `seedCount`. Precondition: the first rule is today's.
void compare(const std::vector<Rules> &rules, Options options, int seedCount,
             const std::function<Shares(const Result &)> &sharesOf, const char *heading)
{
    std::printf("load %.2f, %zu upstreams, %zu hanging, %s: %s\n", options.load, options.upstreams,
                options.hanging, options.hasSpeeds ? "three speeds" : "one speed", heading);
    std::vector<Shares> today;
    for (const Rules &rule : rules) {
        std::vector<Shares> all;
        for (int n = 1; n <= seedCount; ++n) {
            options.seed = 300 + static_cast<std::uint64_t>(n);
            all.push_back(sharesOf(Replay{options, rule.roomRank, rule.overdueRule}.run()));
        }
        today = today.empty() ? all : today;
        std::printf("  %-22s", rule.name.c_str());
        for (std::size_t column = 0; column < all.front().size(); ++column) {
            double sum = 0;
            double difference = 0;
            double squares = 0;
            for (std::size_t n = 0; n < all.size(); ++n) {
                const double one = all[n][column] - today[n][column];
                sum += all[n][column];
                difference += one;
                squares += one * one;
            }
            const auto count = static_cast<double>(all.size());
            const double variance =
                    std::max(squares / count - difference * difference / count / count, 0.0);
            std::printf(" %8.4f %+.4f(%.4f)", sum / count, difference / count,
                        std::sqrt(variance / (count - 1)));
        }
        std::printf("\n");
        std::fflush(stdout);
    }
}

void comparePlacement(benchmark::State &state)
{
    const std::vector<Rules> rules{{"best fit"},
                                   {"worst fit", rankByWorstFit},
                                   {"tasks that still fit", rankByTasks},
                                   {"CPU still usable", rankByUse},
                                   {"least waste", rankByWaste}};
    const auto shares = [](const Result &it) {
        return Shares{it.usedCoreSeconds / (it.cores * 30), it.startedInTime / it.tasks,
                      it.endedInTime / it.tasks, it.completed / it.jobs};
    };
    for (auto _ : state) {
        for (const bool hasSpeeds : {true, false}) {
            for (const double load : {0.7, 0.85, 1.0, 1.2}) {
                Options options;
                options.load = load;
                options.hasSpeeds = hasSpeeds;
                compare(rules, options, 48, shares,
                        "CPU in use, tasks started in time, ended in time, jobs completed");
            }
        }
    }
}

BENCHMARK(comparePlacement)->Iterations(1)->Unit(benchmark::kSecond);

} // namespace
