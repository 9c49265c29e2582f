#include "rattandock/app/control.hpp"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "detail/config_command.hpp"
#include "detail/control_request.hpp"
#include "rattandock/app/exit_code.hpp"
#include "rattandock/app/json_table.hpp"
#include "rattandock/app/log_timeline.hpp"

namespace rattandock::app {

namespace json = boost::json;
using adapters::HttpResponse;

namespace {

constexpr std::array<ControlCommand, 9> commands{{
        {"submit", "Submit a job and print its answer.", "", ""},
        {"status", "Show the state of the daemon.", "", ""},
        {"job", "Show the state of one job.", "ID", "ID"},
        {"explain", "Show what was decided about one job and why.", "ID", "ID"},
        {"logs", "Join the lines about one job from the logs of several VMs.", "ID", "ID FILE..."},
        {"cancel", "Cancel the unstarted tasks of one job.", "ID", "ID"},
        {"drain", "Begin the planned stop of the daemon.", "", ""},
        {"token", "Get a home token for job ids.", "", ""},
        {"config", "Check a configuration before it is sent.", "", "check FILE"},
}};

/// Added to a job's deadline: time for the connection and the answer.
constexpr std::int64_t submitMarginMs = 2'000;

std::string programHelp()
{
    std::string text = "Usage: rattandockctl COMMAND [OPTION...]\n\nCommands:\n";
    for (const ControlCommand &it : commands) {
        const std::string use = std::string{it.name} + ' ' + std::string{it.usage};
        text += "  " + use + std::string(20 - use.size(), ' ') + std::string{it.help} + '\n';
    }
    return text
           + "\nrattandockctl COMMAND --help shows the options of a command.\n\n"
             "Exit codes: 0 success, 1 the operation failed, the job did not complete or the\n"
             "configuration has errors, 2 usage error or unreadable file, 4 no answer from the\n"
             "daemon.\n";
}

cxxopts::Options optionsOf(const ControlCommand &command)
{
    cxxopts::Options options{"rattandockctl " + std::string{command.name},
                             std::string{command.help}};
    auto add = options.add_options();
    add("caller", "caller listener of the daemon, IP:PORT",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7100"));
    add("operator", "operator listener of the daemon, IP:PORT",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7101"));
    add("timeout-ms", "longest time for one request; submit adds the job's deadline",
        cxxopts::value<std::int64_t>()->default_value("5000"));
    add("json", "print the daemon's JSON instead of a table");
    if (command.name == "submit") {
        add("f,file", "job in JSON, - for standard input", cxxopts::value<std::string>());
        add("key", "key of the id TOKEN/KEY; random if not given", cxxopts::value<std::string>());
        add("id", "whole id; no token is taken", cxxopts::value<std::string>());
    }
    add("h,help", "print this help");
    if (command.name == "logs") {
        add("FILE", "log of one VM", cxxopts::value<std::vector<std::string>>());
    }
    if (command.name == "config") {
        add("ACTION", "check", cxxopts::value<std::string>());
        add("FILE", "configuration in JSON, - for standard input", cxxopts::value<std::string>());
        add("against", "earlier configuration to compare with", cxxopts::value<std::string>());
        add("against-active", "compare with the configuration in force at the daemon");
        options.parse_positional({"ACTION", "FILE"});
        options.positional_help(std::string{command.usage});
    }
    if (!command.argument.empty()) {
        add(std::string{command.argument}, "id of the job", cxxopts::value<std::string>());
        const std::string more = command.name == "logs" ? " FILE..." : "";
        options.parse_positional(
                more.empty() ? std::vector{std::string{command.argument}}
                             : std::vector<std::string>{std::string{command.argument}, "FILE"});
        options.positional_help(std::string{command.argument} + more);
    }
    return options;
}

class Control
{
public:
    Control(const ControlCommand &command, const cxxopts::ParseResult &options,
            const ConfigFormat &format, std::ostream &out, std::ostream &err)
        : m_command(command)
        , m_options(options)
        , m_format(format)
        , m_out(out)
        , m_err(err)
    {
    }

    int run()
    {
        if (m_command.name == "submit") {
            return submit();
        }
        if (m_command.name == "status") {
            return print(ask("operator", "GET", "/v1/status"));
        }
        if (m_command.name == "drain") {
            return print(ask("operator", "POST", "/v1/drain"));
        }
        if (m_command.name == "token") {
            return print(ask("caller", "POST", "/v1/tokens"));
        }
        if (m_command.name == "logs") {
            return joinLogs();
        }
        if (m_command.name == "config") {
            return runConfigCommand(m_options, m_format, m_out);
        }
        const std::string id = adapters::percentEncode(text(std::string{m_command.argument}));
        if (m_command.name == "explain") {
            return print(ask("operator", "GET", "/v1/explain/" + id));
        }
        return print(
                ask("caller", m_command.name == "cancel" ? "DELETE" : "GET", "/v1/jobs/" + id));
    }

private:
    std::string text(const std::string &option) const
    {
        if (m_options.count(option) == 0) {
            throw UsageError{option + " is missing"};
        }
        return m_options[option].as<std::string>();
    }

    HttpResponse ask(const std::string &listener, const std::string &method,
                     const std::string &path, std::string body = {}, std::int64_t extraMs = 0) const
    {
        return askDaemon(m_options, listener, method, path, std::move(body), extraMs);
    }

    int print(const HttpResponse &response) const
    {
        json::error_code ec;
        const json::value value = json::parse(response.body, ec);
        if (ec) {
            m_err << "rattandockctl: the answer is not JSON (status " << response.status << ")\n";
            return exitFailed;
        }
        if (m_options.count("json") > 0) {
            m_out << json::serialize(value) << '\n';
        } else {
            (response.status < 400 ? m_out : m_err) << toTable(value);
        }
        return response.status < 400 ? exitOk : exitFailed;
    }

    int joinLogs() const
    {
        const std::string id = text(std::string{m_command.argument});
        if (m_options.count("FILE") == 0) {
            throw UsageError{"FILE is missing"};
        }
        std::vector<VmLog> logs;
        for (const std::string &it : m_options["FILE"].as<std::vector<std::string>>()) {
            std::ifstream in{it};
            if (!in) {
                throw UsageError{it + " cannot be read"};
            }
            VmLog &log = logs.emplace_back(VmLog{it, {}});
            for (std::string line; std::getline(in, line);) {
                log.lines.push_back(line);
            }
        }
        const auto lines = jobTimeline(id, logs);
        for (const std::string &it : lines) {
            m_out << it << '\n';
        }
        if (lines.empty()) {
            m_err << "rattandockctl: no line names job " << id << "\n";
        }
        return lines.empty() ? exitFailed : exitOk;
    }

    json::object readJob() const
    {
        const std::string file = text("file");
        std::stringstream content;
        if (file == "-") {
            content << std::cin.rdbuf();
        } else {
            std::ifstream in{file};
            if (!in) {
                throw UsageError{file + " cannot be read"};
            }
            content << in.rdbuf();
        }
        json::error_code ec;
        const json::value value = json::parse(content.str(), ec);
        if (ec || !value.is_object()) {
            throw UsageError{file + ": "
                             + (ec ? "is not valid JSON: " + ec.message()
                                   : std::string{"must be a JSON object"})};
        }
        return value.get_object();
    }

    /// The id of --id, else a home id with --key, else the file's own id, else a random home id.
    std::string idFor(const json::object &job) const
    {
        if (m_options.count("id") > 0) {
            return text("id");
        }
        const bool hasKey = m_options.count("key") > 0;
        if (const auto *id = job.if_contains("id"); id != nullptr && !hasKey) {
            if (!id->is_string()) {
                throw UsageError{"id in the job file must be a string"};
            }
            return std::string{id->get_string()};
        }
        const HttpResponse answer = ask("caller", "POST", "/v1/tokens");
        json::error_code ec;
        const json::value token = json::parse(answer.body, ec);
        if (answer.status != 200 || ec || !token.is_object()
            || !token.get_object().contains("token") || !token.at("token").is_string()) {
            throw Unreachable{"the daemon gives no home token (status "
                              + std::to_string(answer.status) + "): " + answer.body};
        }
        return std::string{token.at("token").get_string()} + '/'
               + (hasKey ? text("key") : randomKey());
    }

    static std::string randomKey()
    {
        std::random_device random;
        std::stringstream key;
        key << std::hex << random() << '-' << random();
        return key.str();
    }

    int submit() const
    {
        json::object job = readJob();
        const std::string id = idFor(job);
        job["id"] = id;
        const auto *deadline = job.if_contains("deadlineMs");
        const std::int64_t deadlineMs =
                deadline != nullptr && deadline->is_int64()
                        ? std::clamp<std::int64_t>(deadline->get_int64(), 0, 3'600'000)
                        : 0;
        try {
            return print(ask("caller", "POST", "/v1/jobs", json::serialize(job),
                             deadlineMs + submitMarginMs));
        } catch (const Unreachable &error) {
            throw Unreachable{error.message + "\nThe job may have run. Submit it again with --id "
                              + id + " to get its answer."};
        }
    }

    const ControlCommand &m_command;
    const cxxopts::ParseResult &m_options;
    const ConfigFormat &m_format;
    std::ostream &m_out;
    std::ostream &m_err;
};

int runCommand(const ControlCommand &command, const std::vector<std::string> &arguments,
               const ConfigFormat &format, std::ostream &out, std::ostream &err)
{
    auto options = optionsOf(command);
    std::vector<const char *> argv;
    for (const std::string &it : arguments) {
        argv.push_back(it.c_str());
    }
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
        out << options.help();
        return exitOk;
    }
    if (!parsed.unmatched().empty()) {
        throw UsageError{parsed.unmatched().front() + " is not expected"};
    }
    return Control{command, parsed, format, out, err}.run();
}

} // namespace

std::span<const ControlCommand> controlCommands()
{
    return commands;
}

int runControl(const std::vector<std::string> &arguments, std::string_view version,
               const ConfigFormat &format, std::ostream &out, std::ostream &err)
{
    const std::string first = arguments.empty() ? "" : arguments.front();
    if (first == "--help" || first == "-h") {
        out << programHelp();
        return exitOk;
    }
    if (first == "--version") {
        out << "rattandockctl " << version << '\n';
        return exitOk;
    }
    try {
        const auto command = std::ranges::find(commands, first, &ControlCommand::name);
        if (command == commands.end()) {
            throw UsageError{first.empty() ? "a command is missing"
                                           : "there is no command " + first};
        }
        return runCommand(*command, arguments, format, out, err);
    } catch (const UsageError &error) {
        err << "rattandockctl: " << error.message << "; see rattandockctl --help\n";
        return exitUsage;
    } catch (const cxxopts::exceptions::exception &error) {
        err << "rattandockctl: " << error.what() << "; see rattandockctl --help\n";
        return exitUsage;
    } catch (const Unreachable &error) {
        err << "rattandockctl: " << error.message << '\n';
        return exitUnreachable;
    } catch (const OperationFailed &error) {
        err << "rattandockctl: " << error.message << '\n';
        return exitFailed;
    }
}

} // namespace rattandock::app
