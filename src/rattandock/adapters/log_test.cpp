#include "rattandock/adapters/log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <iostream>
#include <regex>
#include <sstream>
#include <thread>

using namespace rattandock::adapters;

namespace {

/// Standard output goes to a pipe for the life of the object.
class CapturedStandardOutput
{
public:
    CapturedStandardOutput()
        : m_saved(::dup(STDOUT_FILENO))
    {
        // What others have buffered does not belong to the captured text.
        std::cout.flush();
        std::fflush(stdout);
        std::array<int, 2> ends{};
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        m_read = ends[0];
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
    }
    CapturedStandardOutput(const CapturedStandardOutput &) = delete;
    CapturedStandardOutput &operator=(const CapturedStandardOutput &) = delete;
    ~CapturedStandardOutput()
    {
        restore();
        ::close(m_read);
    }

    /// Reads until no writer is left.
    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buf{};
        while (true) {
            const auto n = ::read(m_read, buf.data(), buf.size());
            if (n <= 0) {
                return text;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
    void restore()
    {
        if (m_saved >= 0) {
            ::dup2(m_saved, STDOUT_FILENO);
            ::close(m_saved);
            m_saved = -1;
        }
    }

private:
    int m_saved;
    int m_read = -1;
};

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::stringstream in{text};
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogTest)

// Guards against text of a caller that forges a second log line.
BOOST_AUTO_TEST_CASE(keepsOneEventOnOneLine)
{
    BOOST_TEST(formatLogLine(LogPart::Dispatch, "job-refused", "a\nb\x1b[2J")
               == "dispatch: job-refused job=a?b?[2J");
    BOOST_TEST(formatLogLine(LogPart::Config, "version 2", {}) == "config: version 2");
}

// Guards against lines without time, level, prefix or job, and against lines below the level.
BOOST_AUTO_TEST_CASE(writesLinesInTheDocumentedFormat)
{
    CapturedStandardOutput captured;
    setUpLog(LogLevel::Info);
    log(LogLevel::Info, LogPart::Caller, "answered", "t/k");
    log(LogLevel::Debug, LogPart::Caller, "dropped");
    log(LogLevel::Warn, LogPart::Upstream, "ejected");
    shutDownLog();
    log(LogLevel::Error, LogPart::Daemon, "after the end");
    captured.restore();
    const auto lines = linesOf(captured.readAll());
    BOOST_REQUIRE(lines.size() == 2U);
    const std::string time = R"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} )";
    BOOST_TEST(std::regex_match(lines[0], std::regex{time + "INFO  caller: answered job=t/k"}),
               lines[0]);
    BOOST_TEST(std::regex_match(lines[1], std::regex{time + "WARN  upstream: ejected"}), lines[1]);
}

// Guards against a thread that waits for a standard output which nobody reads: without dropping,
// the loop below would not end.
BOOST_AUTO_TEST_CASE(neverWaitsForStandardError)
{
    CapturedStandardOutput captured;
    setUpLog(LogLevel::Info);
    const std::string sentence(100, 'x');
    for (int n = 0; n < 50'000; ++n) {
        log(LogLevel::Info, LogPart::Daemon, sentence);
    }
    std::thread end{[&captured] {
        shutDownLog();
        captured.restore();
    }};
    const auto lines = linesOf(captured.readAll());
    end.join();
    BOOST_TEST(lines.size() > 100U);
    BOOST_TEST(lines.size() < 50'000U);
}

BOOST_AUTO_TEST_SUITE_END()
