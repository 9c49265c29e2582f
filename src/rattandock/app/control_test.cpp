#include "rattandock/app/control.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include "detail/test_upstream.hpp"
#include "rattandock/adapters/endpoint.hpp"
#include "rattandock/app/daemon.hpp"
#include "rattandock/app/exit_code.hpp"
#include "rattandock/app/json_table.hpp"

using namespace rattandock;
using namespace rattandock::app;
using namespace rattandock::app::test;

namespace {

struct Run
{
    int code = -1;
    std::string out;
    std::string err;
};

Run control(const std::vector<std::string> &arguments)
{
    std::stringstream out;
    std::stringstream err;
    Run run;
    run.code = runControl(arguments, "1.2.3", {}, out, err);
    run.out = out.str();
    run.err = err.str();
    return run;
}

/// A daemon with one upstream, and the options that reach it.
struct Fixture
{
    Fixture()
    {
        auto settings = testSettings();
        settings.upstreams.push_back(upstream.settings(8));
        daemon = std::move(Daemon::start(settings).value());
        std::ofstream{file} << R"({"deadlineMs":5000,"tasks":[{"payload":"p"},{"payload":"q"}]})";
    }
    ~Fixture()
    {
        daemon->stop();
        std::remove(file.c_str());
    }

    Run with(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(),
                         {"--caller", "127.0.0.1:" + std::to_string(daemon->callerPort()),
                          "--operator", "127.0.0.1:" + std::to_string(daemon->operatorPort())});
        return control(arguments);
    }

    TestUpstream upstream{[](const std::string &payload) { return "done:" + payload; }};
    std::unique_ptr<Daemon> daemon;
    std::string file = "control_test_" + std::to_string(::getpid()) + ".json";
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlTest)

// Guards against a session that cannot be scripted: wrong exit codes, or output that is not JSON.
BOOST_FIXTURE_TEST_CASE(runsASession, Fixture)
{
    const Run submitted = with({"submit", "-f", file, "--key", "k1", "--json"});
    BOOST_REQUIRE_MESSAGE(submitted.code == exitOk, submitted.err);
    const auto answer = boost::json::parse(submitted.out);
    const std::string id{answer.at("id").as_string()};
    BOOST_TEST(id.ends_with("/k1"));
    BOOST_TEST(answer.at("results").at(1).as_string() == "done:q");

    const Run again = with({"submit", "-f", file, "--id", id});
    BOOST_TEST(again.code == exitOk);
    BOOST_TEST(upstream.started() == 2U);

    const Run job = with({"job", id});
    BOOST_TEST(job.code == exitOk);
    BOOST_TEST(job.out.find("outcome       complete") != std::string::npos, job.out);

    const Run explained = with({"explain", id});
    BOOST_TEST(explained.code == exitOk);
    BOOST_TEST(explained.out.find("job-accepted") != std::string::npos, explained.out);
    BOOST_TEST(explained.out.find("on u1") != std::string::npos, explained.out);

    BOOST_TEST(with({"cancel", id}).code == exitOk);
    BOOST_TEST(with({"status"}).out.find("vm-1") != std::string::npos);
    BOOST_TEST(with({"token"}).out.find("v1.vm-1.") != std::string::npos);
    BOOST_TEST(with({"drain"}).code == exitOk);
    const Run refused = with({"submit", "-f", file, "--id", id + "-new", "--json"});
    BOOST_TEST(refused.code == exitFailed);
    BOOST_TEST(boost::json::parse(refused.out).at("reason").as_string() == "draining");
    BOOST_TEST(with({"submit", "-f", file}).err.find("no home token") != std::string::npos);
}

// Guards against a failed operation that looks like a success.
BOOST_FIXTURE_TEST_CASE(reportsFailedOperations, Fixture)
{
    const Run unknown = with({"job", "no such/id"});
    BOOST_TEST(unknown.code == exitFailed);
    BOOST_TEST(unknown.out.empty());
    BOOST_TEST(unknown.err.find("is not known to this VM") != std::string::npos, unknown.err);
    BOOST_TEST(with({"explain", "none"}).code == exitFailed);
}

// Guards against a usage error that is sent to the daemon, or not told apart from a failure.
BOOST_AUTO_TEST_CASE(refusesWrongUsage)
{
    const std::vector<std::vector<std::string>> wrong{
            {},
            {"unheard-of"},
            {"job"},
            {"job", "a", "b"},
            {"status", "--no-such-option"},
            {"submit"},
            {"submit", "-f", "/no/such/file.json"},
            {"status", "--operator", "somewhere"},
            {"status", "--timeout-ms", "0"},
            {"status", "--timeout-ms", "soon"},
            {"config"},
            {"config", "check"},
            {"config", "send", "file.json"},
            {"config", "check", "/no/such/file.json"},
            {"config", "check", "/"},
            {"config", "check", "a.json", "b.json"},
    };
    for (const auto &it : wrong) {
        const Run run = control(it);
        BOOST_TEST_CONTEXT(run.err)
        {
            BOOST_TEST(run.code == exitUsage);
            BOOST_TEST(run.err.find("--help") != std::string::npos);
        }
    }
}

// Guards against a command without help.
BOOST_AUTO_TEST_CASE(hasHelpForEachCommand)
{
    BOOST_TEST(control({"--version"}).out == "rattandockctl 1.2.3\n");
    const std::string help = control({"--help"}).out;
    BOOST_REQUIRE(!controlCommands().empty());
    for (const ControlCommand &it : controlCommands()) {
        BOOST_TEST(help.find(it.name) != std::string::npos);
        const Run run = control({std::string{it.name}, "--help"});
        BOOST_TEST(run.code == exitOk);
        BOOST_TEST(run.out.find(it.help) != std::string::npos);
        BOOST_TEST(run.out.find("--timeout-ms") != std::string::npos);
    }
}

// Guards against a message that does not say which listener cannot be reached, or whether the job
// may have run.
BOOST_AUTO_TEST_CASE(reportsAnUnreachableDaemon)
{
    std::string address;
    {
        TestUpstream closed{[](const std::string &) { return std::string{}; }};
        address = "127.0.0.1:" + std::to_string(closed.settings(1).address.port());
    }
    const Run run = control({"status", "--operator", address});
    BOOST_TEST(run.code == exitUnreachable);
    BOOST_TEST(run.err.find("cannot connect to the daemon's operator listener at " + address)
               != std::string::npos);
}

// Guards against a request without a time limit.
BOOST_AUTO_TEST_CASE(givesUpOnADaemonThatDoesNotAnswer)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor silent{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const std::string address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    const Run run = control({"status", "--operator", address, "--timeout-ms", "50"});
    BOOST_TEST(run.code == exitUnreachable);
    BOOST_TEST(run.err.find("no answer from") != std::string::npos, run.err);
}

// Guards against text of a job that changes the terminal, and against columns out of line.
BOOST_AUTO_TEST_CASE(formatsTables)
{
    const auto value = boost::json::parse(
            R"({"a":1,"long":{"x":"t\u001b[2J"},"rows":[{"n":1,"s":"abc"},{"n":22,"s":""}]})");
    BOOST_TEST(toTable(value) == "a       1\nlong.x  t?[2J\n\nrows:\nn   s\n1   abc\n22  -\n");
}

// Guards against an address that is read in part.
BOOST_AUTO_TEST_CASE(parsesEndpoints)
{
    BOOST_TEST(adapters::parseEndpoint("127.0.0.1:80").has_value());
    BOOST_TEST(adapters::parseEndpoint("[::1]:80").has_value());
    for (const auto *it : {"127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "host:80", "1.2.3.4:8x"}) {
        BOOST_TEST(!adapters::parseEndpoint(it).has_value(), it);
    }
}

// Guards against a command that the shell does not complete.
BOOST_AUTO_TEST_CASE(completesEachCommand)
{
    std::ifstream in{RATTANDOCK_SOURCE_DIR "/completions/rattandockctl.bash"};
    std::stringstream text;
    text << in.rdbuf();
    std::string commands = "commands=\"";
    for (const ControlCommand &it : controlCommands()) {
        commands += std::string{it.name} + ' ';
    }
    commands.back() = '"';
    BOOST_TEST(text.str().find(commands) != std::string::npos, commands);
}

// Guards against a command line for logs that shows nothing, or ends well without a line found.
BOOST_AUTO_TEST_CASE(joinsLogsOfFiles)
{
    const std::string log = "control_test_vm.log";
    std::ofstream{log} << "2026-08-21 07:46:25,300 INFO  dispatch: job-failed reason=attempts "
                          "(queue q) job=00ff\n";
    const Run found = control({"logs", "00ff", log});
    BOOST_TEST(found.code == exitOk);
    BOOST_TEST(found.out.starts_with(log + ": 2026-08-21"));
    BOOST_TEST(control({"logs", "00aa", log}).code == exitFailed);
    BOOST_TEST(control({"logs", "00ff"}).code == exitUsage);
    BOOST_TEST(control({"logs", "00ff", "missing.log"}).code == exitUsage);
    std::remove(log.c_str());
}

BOOST_AUTO_TEST_SUITE_END()
