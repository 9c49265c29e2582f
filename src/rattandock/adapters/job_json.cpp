#include "rattandock/adapters/job_json.hpp"

#include <boost/json/serialize.hpp>

#include "rattandock/adapters/base64.hpp"
#include "rattandock/adapters/json_object_reader.hpp"
#include "rattandock/adapters/json_parse.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::adapters {

namespace json = boost::json;
using namespace core;

namespace {

constexpr std::size_t maxIdBytes = 300;
constexpr std::size_t maxNameBytes = 64;
/// A task has six keys; the rest is room for keys that are reported as unknown.
constexpr std::size_t valuesPerTask = 16;
/// More findings than this help no caller and would make the answer large.
constexpr std::size_t maxShownFindings = 20;
constexpr std::int64_t maxCores = 4096;
constexpr std::int64_t maxMegabytes = 16'777'216;
constexpr std::int64_t maxAccelerators = 64;

TaskSpec readTask(JsonObjectReader &reader, const JobLimits &limits)
{
    TaskSpec task;
    task.payload = reader.text("payload", 0, limits.maxPayloadBytes).value_or("");
    task.estimate = std::chrono::milliseconds{
            reader.integer("estimateMs", 0, toMilliseconds(limits.maxDeadline)).value_or(0)};
    task.needs.cores =
            Cores{static_cast<std::uint32_t>(reader.integer("cores", 0, maxCores).value_or(1))};
    task.needs.memory = Megabytes{
            static_cast<std::uint32_t>(reader.integer("memoryMb", 0, maxMegabytes).value_or(0))};
    task.needs.accelerators = Accelerators{static_cast<std::uint32_t>(
            reader.integer("accelerators", 0, maxAccelerators).value_or(0))};
    reader.require("payload");
    return task;
}

json::array toJson(const std::vector<TaskIndex> &tasks)
{
    json::array array;
    for (const TaskIndex &it : tasks) {
        array.emplace_back(it.value());
    }
    return array;
}

/// A string, or for bytes that are not UTF-8 an object with their base64 form.
json::value resultValue(const std::string &result)
{
    if (isUtf8(result)) {
        return json::string{result};
    }
    return json::object{{"base64", toBase64(result)}};
}

json::object outcomeObject(const JobId &id, const JobOutcome &outcome)
{
    json::object object;
    object["id"] = id.value();
    object["outcome"] = name(outcome);
    if (const auto reason = reasonName(outcome); !reason.empty()) {
        object["reason"] = reason;
    }
    return object;
}

} // namespace

Checked<JobSpec> parseJob(std::string_view body, const JobLimits &limits)
{
    Findings findings;
    auto parsed = parseJson(body, {8, 64 + valuesPerTask * limits.maxTasks});
    if (!parsed) {
        return parsed.error();
    }
    const json::value &value = parsed.value();
    if (!value.is_object()) {
        findings.add("$", "must be an object");
        return findings;
    }
    JsonObjectReader reader{value.get_object(), "$", findings};
    JobSpec job;
    reader.require("id");
    reader.require("deadlineMs");
    reader.require("tasks");
    job.id = JobId{reader.text("id", 1, maxIdBytes).value_or("")};
    job.team = TeamId{reader.text("team", 0, maxNameBytes).value_or("")};
    job.deadline = std::chrono::milliseconds{
            reader.integer("deadlineMs", 1, toMilliseconds(limits.maxDeadline)).value_or(0)};
    reader.objects("tasks", 1, limits.maxTasks,
                   [&](JsonObjectReader &item) { job.tasks.push_back(readTask(item, limits)); });
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        return findings;
    }
    return job;
}

std::string formatAnswer(const JobId &id, const JobOutcome &outcome)
{
    json::object object = outcomeObject(id, outcome);
    std::visit(
            Overloaded{[&](const Complete &it) {
                           json::array &results = object["results"].emplace_array();
                           for (const std::string &result : it.results) {
                               results.push_back(resultValue(result));
                           }
                       },
                       [&](const Failed &it) { object["startedTasks"] = toJson(it.startedTasks); },
                       [&](const NotRun &it) {
                           if (it.retryAfter) {
                               object["retryAfterMs"] = toMilliseconds(*it.retryAfter);
                           }
                       },
                       [](const Unknown &) {}},
            outcome);
    return json::serialize(object) + '\n';
}

std::string formatView(const JobView &view)
{
    json::object object;
    if (view.outcome) {
        object = outcomeObject(view.id, *view.outcome);
        object["state"] = "ended";
    } else {
        object["id"] = view.id.value();
        object["state"] = view.startedCount == 0 ? "queued" : "running";
    }
    object["tasks"] = view.taskCount;
    object["tasksStarted"] = view.startedCount;
    object["tasksDone"] = view.doneCount;
    return json::serialize(object) + '\n';
}

std::string formatError(std::string_view error, const Findings &findings)
{
    json::object object;
    object["error"] = error;
    json::array array;
    for (const Finding &it : findings.items()) {
        if (array.size() == maxShownFindings) {
            object["findingsOmitted"] = findings.items().size() - maxShownFindings;
            break;
        }
        array.push_back(json::object{{"place", it.place}, {"message", it.message}});
    }
    object["findings"] = std::move(array);
    return json::serialize(object) + '\n';
}

unsigned statusOf(const JobOutcome &outcome)
{
    const auto ofRefusal = [](const NotRun &it) -> unsigned {
        switch (it.reason) {
        case RefusalReason::IdReused:
            return 409;
        case RefusalReason::NoUpstreamFits:
        case RefusalReason::DeadlineTooShort:
            return 422;
        case RefusalReason::QuotaExceeded:
            return 429;
        default:
            return 503;
        }
    };
    return std::visit(Overloaded{[](const Complete &) { return 200U; },
                                 [](const Failed &) { return 502U; }, ofRefusal,
                                 [](const Unknown &) { return 504U; }},
                      outcome);
}

} // namespace rattandock::adapters
