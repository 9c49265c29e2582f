#include "rattandock/app/config_report.hpp"

#include <algorithm>
#include <boost/json/array.hpp>

#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

namespace json = boost::json;

namespace {

std::string line(std::string text)
{
    std::ranges::replace_if(
            text, [](unsigned char it) { return it < 0x20U || it == 0x7fU; }, '?');
    return text + '\n';
}

std::string counted(std::size_t n, std::string_view noun)
{
    return std::to_string(n) + ' ' + std::string{noun} + (n == 1 ? "" : "s");
}

std::string findingsOf(const ConfigFindings &findings, Severity severity)
{
    std::string text;
    for (const ConfigFinding &it : findings.items()) {
        if (severityOf(it.rule) == severity) {
            text += line(it.place + ": " + std::string{name(severity)} + ": " + it.message + " ["
                         + std::string{name(it.rule)} + ']');
            text += line("    " + it.remedy);
        }
    }
    return text;
}

json::object toJson(const ConfigDifference &difference)
{
    return std::visit(Overloaded{[](const QueueAdded &it) -> json::object {
                                     return {{"queue", it.queue.value()}, {"change", "added"}};
                                 },
                                 [](const QueueRemoved &it) -> json::object {
                                     return {{"queue", it.queue.value()}, {"change", "removed"}};
                                 },
                                 [](const QueueChanged &it) -> json::object {
                                     return {{"queue", it.queue.value()},
                                             {"change", "changed"},
                                             {"field", name(it.field)},
                                             {"from", it.from},
                                             {"to", it.to}};
                                 }},
                      difference);
}

json::object toJson(const ConfigComparison &comparison)
{
    json::object object{{"source", comparison.source}, {"version", comparison.version.value()}};
    if (!comparison.differences) {
        object["differences"] = nullptr;
        return object;
    }
    const ConfigDifferences &it = *comparison.differences;
    json::array items;
    for (const ConfigDifference &item : it.items) {
        items.push_back(toJson(item));
    }
    object["added"] = it.added;
    object["removed"] = it.removed;
    object["changed"] = it.changed;
    object["differences"] = std::move(items);
    object["differencesOmitted"] = it.omitted;
    return object;
}

std::string toText(const ConfigDifference &difference)
{
    const auto queue = [](const fleet::QueueId &id) {
        return "    queue \"" + id.value() + "\": ";
    };
    return line(std::visit(
            Overloaded{[&](const QueueAdded &it) { return queue(it.queue) + "added"; },
                       [&](const QueueRemoved &it) { return queue(it.queue) + "removed"; },
                       [&](const QueueChanged &it) {
                           return queue(it.queue) + std::string{name(it.field)} + " from \""
                                  + it.from + "\" to \"" + it.to + '"';
                       }},
            difference));
}

std::string toText(const ConfigComparison &comparison)
{
    const std::string other =
            "version " + std::to_string(comparison.version.value()) + " of " + comparison.source;
    if (!comparison.differences) {
        return line("not compared with " + other + ", because the daemon refuses this one");
    }
    const ConfigDifferences &it = *comparison.differences;
    std::string text = line("differences from " + other + ": " + counted(it.added, "queue")
                            + " added, " + std::to_string(it.removed) + " removed, "
                            + std::to_string(it.changed) + " changed");
    for (const ConfigDifference &item : it.items) {
        text += toText(item);
    }
    if (it.omitted > 0) {
        text += line("    " + counted(it.omitted, "more difference") + " not shown");
    }
    return text;
}

} // namespace

std::string toText(const ConfigReport &report)
{
    const ConfigFindings &findings = report.findings;
    std::string text =
            findingsOf(findings, Severity::Error) + findingsOf(findings, Severity::Warning);
    if (findings.omitted() > 0) {
        text += line(counted(findings.omitted(), "more finding") + " not shown");
    }
    if (report.comparison) {
        text += toText(*report.comparison);
    }
    return text
           + line(report.file + ": version " + std::to_string(report.version.value()) + ", "
                  + counted(report.queues, "queue") + ", "
                  + counted(findings.count(Severity::Error), "error") + ", "
                  + counted(findings.count(Severity::Warning), "warning"));
}

json::object toJson(const ConfigReport &report)
{
    json::array findings;
    for (const ConfigFinding &it : report.findings.items()) {
        findings.push_back(json::object{{"rule", name(it.rule)},
                                        {"severity", name(severityOf(it.rule))},
                                        {"place", it.place},
                                        {"message", it.message},
                                        {"remedy", it.remedy}});
    }
    json::object object{{"file", report.file},
                        {"version", report.version.value()},
                        {"accepted", report.isAccepted},
                        {"queues", report.queues},
                        {"errors", report.findings.count(Severity::Error)},
                        {"warnings", report.findings.count(Severity::Warning)},
                        {"findings", std::move(findings)},
                        {"findingsOmitted", report.findings.omitted()}};
    if (report.comparison) {
        object["against"] = toJson(*report.comparison);
    }
    return object;
}

} // namespace rattandock::app
