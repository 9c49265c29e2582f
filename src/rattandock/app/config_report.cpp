#include "rattandock/app/config_report.hpp"

#include <algorithm>
#include <boost/json/array.hpp>

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

} // namespace

std::string toText(const ConfigReport &report)
{
    const ConfigFindings &findings = report.findings;
    std::string text =
            findingsOf(findings, Severity::Error) + findingsOf(findings, Severity::Warning);
    if (findings.omitted() > 0) {
        text += line(counted(findings.omitted(), "more finding") + " not shown");
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
    return {{"file", report.file},
            {"version", report.version.value()},
            {"accepted", report.isAccepted},
            {"queues", report.queues},
            {"errors", report.findings.count(Severity::Error)},
            {"warnings", report.findings.count(Severity::Warning)},
            {"findings", std::move(findings)},
            {"findingsOmitted", report.findings.omitted()}};
}

} // namespace rattandock::app
