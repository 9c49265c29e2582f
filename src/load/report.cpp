#include "load/report.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <iomanip>
#include <numeric>

namespace rattandock::load {

namespace json = boost::json;

namespace {

double milliseconds(Duration span)
{
    constexpr double microsecondsPerMillisecond = 1000.0;
    return static_cast<double>(span.count()) / microsecondsPerMillisecond;
}

/// Includes the way to the entry VM and back, which no placement can save.
double idealMs(const Scenario &scenario, const LoadResult &result, const JobRecord &job)
{
    const Duration alone = idealResponse(scenario.upstreams, result.plan[job.plan], job.id);
    return milliseconds(alone + scenario.callerDelay * 2);
}

class Table
{
public:
    explicit Table(std::ostream &out)
        : m_out(out)
    {
        m_out << std::fixed << std::setprecision(3);
    }

    template <typename Value>
    void row(const std::string &name, const Value &value)
    {
        constexpr int width = 44;
        m_out << std::left << std::setw(width) << name << value << '\n';
    }

    void percentiles(const std::string &name, const std::vector<double> &values)
    {
        if (!values.empty()) {
            row(name + " p50", percentile(values, 0.5));
            row(name + " p99", percentile(values, 0.99));
        }
    }

private:
    std::ostream &m_out;
};

struct Totals
{
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<double> responses;
    std::vector<double> ratios;
    /// Response less the run time, of jobs with one task.
    std::vector<double> daemonOverhead;
    std::vector<double> directOverhead;
    std::uint64_t usefulTasks = 0;
};

void addComplete(const Scenario &scenario, const LoadResult &result, const JobRecord &job,
                 Totals &totals)
{
    const double response = milliseconds(job.response);
    const double ideal = idealMs(scenario, result, job);
    if (job.tasks == 1) {
        (job.direct ? totals.directOverhead : totals.daemonOverhead).push_back(response - ideal);
    }
    if (job.direct) {
        return;
    }
    totals.usefulTasks += job.tasks;
    totals.responses.push_back(response);
    if (ideal > 0.0) {
        totals.ratios.push_back(response / ideal);
    }
}

Totals totalsOf(const Scenario &scenario, const LoadResult &result)
{
    Totals totals;
    for (const JobRecord &it : result.jobs) {
        ++totals.outcomes[(it.direct ? "direct " : "") + it.outcome];
        if (!it.reason.empty()) {
            ++totals.reasons[it.outcome + " " + it.reason];
        }
        if (it.outcome == "complete") {
            addComplete(scenario, result, it, totals);
        }
    }
    return totals;
}

void writeMessages(Table &table, const LoadResult &result)
{
    std::uint64_t tasks = 0;
    std::uint64_t directTasks = 0;
    for (const JobRecord &it : result.jobs) {
        (it.direct ? directTasks : tasks) += it.tasks;
    }
    if (tasks == 0) {
        return;
    }
    const auto perTask = [tasks](std::uint64_t count) {
        return static_cast<double>(count) / static_cast<double>(tasks);
    };
    for (const auto &[kind, count] : result.callerMessages) {
        table.row("messages per task, caller " + kind, perTask(count));
    }
    table.row("messages per task, upstream start",
              perTask(result.upstreams.started - std::min(directTasks, result.upstreams.started)));
    table.row("wasted per task, refused by upstream", perTask(result.upstreams.refused));
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::min(std::max<std::size_t>(rank, 1), values.size()) - 1];
}

void writeJobLines(std::ostream &out, const Scenario &scenario, const LoadResult &result)
{
    for (const JobRecord &it : result.jobs) {
        out << json::serialize(json::object{{"id", it.id},
                                            {"tasks", it.tasks},
                                            {"direct", it.direct},
                                            {"atMs", milliseconds(result.plan[it.plan].at)},
                                            {"responseMs", milliseconds(it.response)},
                                            {"idealMs", idealMs(scenario, result, it)},
                                            {"outcome", it.outcome},
                                            {"reason", it.reason},
                                            {"submissions", it.submissions},
                                            {"cancelled", it.cancelled}})
            << '\n';
    }
}

void writePoints(std::ostream &out, const Scenario &scenario, const LoadResult &result)
{
    for (const JobRecord &it : result.jobs) {
        if (it.direct) {
            continue;
        }
        const double response = milliseconds(it.response);
        const double ideal = std::max(idealMs(scenario, result, it), 0.001);
        out << milliseconds(result.plan[it.plan].at) / 1000.0 << ' ' << response << ' '
            << response / ideal << ' ' << it.outcome << '\n';
    }
}

void writeTable(std::ostream &out, const Scenario &scenario, const LoadResult &result)
{
    const Totals totals = totalsOf(scenario, result);
    Table table{out};
    table.row("jobs", result.jobs.size());
    for (const auto &[outcome, count] : totals.outcomes) {
        table.row("  " + outcome, count);
    }
    for (const auto &[reason, count] : totals.reasons) {
        table.row("  by reason, " + reason, count);
    }
    table.percentiles("response of complete jobs, ms,", totals.responses);
    table.percentiles("response over ideal,", totals.ratios);
    table.percentiles("one task by daemon, over run time, ms,", totals.daemonOverhead);
    table.percentiles("one task direct, over run time, ms,", totals.directOverhead);
    table.row("useful throughput, tasks/s", static_cast<double>(totals.usefulTasks) * 1e6
                                                    / static_cast<double>(result.elapsed.count()));
    writeMessages(table, result);
    table.row("idle connections held", result.idleConnections);
}

} // namespace rattandock::load
