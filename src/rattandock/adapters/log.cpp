#include "rattandock/adapters/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>

namespace rattandock::adapters {

namespace {

std::atomic<LogLevel> lowestLevel = LogLevel::Info;

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
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toLevel(level));
    lowestLevel = level;
}

void log(LogLevel level, LogPart part, std::string_view sentence, std::string_view job)
{
    if (!isLogged(level)) {
        return;
    }
    std::string line{prefixOf(part)};
    line += sentence;
    if (!job.empty()) {
        line += " job=";
        line += job;
    }
    logger()->log(toLevel(level), line);
}

bool isLogged(LogLevel level)
{
    return level <= lowestLevel;
}

} // namespace rattandock::adapters
