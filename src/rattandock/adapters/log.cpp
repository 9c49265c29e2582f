#include "rattandock/adapters/log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>

namespace rattandock::adapters {

namespace {

/// About 2 MB with typical lines.
constexpr int bufferedLines = 8192;

std::atomic<LogLevel> lowestLevel = LogLevel::Info;
std::atomic<bool> isSetUp = false;

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr it = log4cxx::Logger::getLogger("rattandock");
    return it;
}

log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Debug:
        break;
    }
    return log4cxx::Level::getDebug();
}

std::string_view prefixOf(LogPart part)
{
    static constexpr std::array<std::string_view, 7> prefixes{
            "caller: ", "dispatch: ", "upstream: ", "peer: ", "platform: ", "config: ", "daemon: "};
    return prefixes.at(static_cast<std::size_t>(part));
}

} // namespace

void setUpLog(LogLevel level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.out");
    const auto async = std::make_shared<log4cxx::AsyncAppender>();
    async->setBufferSize(bufferedLines);
    async->setBlocking(false);
    async->addAppender(console);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(async);
    root->setLevel(toLevel(level));
    lowestLevel = level;
    isSetUp = true;
}

void shutDownLog()
{
    if (isSetUp.exchange(false)) {
        log4cxx::LogManager::shutdown();
    }
}

std::string formatLogLine(LogPart part, std::string_view sentence, std::string_view job)
{
    std::string line{prefixOf(part)};
    line += sentence;
    if (!job.empty()) {
        line += " job=";
        line += job;
    }
    std::ranges::replace_if(
            line, [](unsigned char it) { return it < 0x20U || it == 0x7fU; }, '?');
    return line;
}

void log(LogLevel level, LogPart part, std::string_view sentence, std::string_view job)
{
    if (isSetUp && isLogged(level)) {
        logger()->log(toLevel(level), formatLogLine(part, sentence, job));
    }
}

bool isLogged(LogLevel level)
{
    return level <= lowestLevel;
}

} // namespace rattandock::adapters
