#include "standins/upstream/start_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace rattandock::standins {

IoResult<StartLog> StartLog::open(const std::string &file)
{
    constexpr mode_t mode = 0644;
    StartLog log;
    log.m_file = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (log.m_file < 0) {
        return boost::system::error_code{errno, boost::system::system_category()};
    }
    return log;
}

StartLog::StartLog(StartLog &&other) noexcept
    : m_file(std::exchange(other.m_file, -1))
{
}

StartLog &StartLog::operator=(StartLog &&other) noexcept
{
    std::swap(m_file, other.m_file);
    return *this;
}

StartLog::~StartLog()
{
    if (m_file >= 0) {
        ::close(m_file);
    }
}

bool StartLog::add(std::string_view upstream, std::string_view task, std::string_view attempt) const
{
    if (m_file < 0) {
        return true;
    }
    std::string line = std::to_string(microsecondsSinceEpoch());
    for (const std::string_view field : {upstream, task, attempt}) {
        line += ' ';
        line += field;
    }
    line += '\n';
    const auto written = ::write(m_file, line.data(), line.size());
    return written == static_cast<ssize_t>(line.size());
}

std::int64_t microsecondsSinceEpoch()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace rattandock::standins
