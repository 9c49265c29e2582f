#include "rattandock/app/log_timeline.hpp"

#include <algorithm>
#include <map>
#include <regex>
#include <set>
#include <utility>

namespace rattandock::app {

namespace {

/// Lines on one upstream that are shown, the latest before the job's end.
constexpr std::size_t linesPerUpstream = 4;

struct Entry
{
    std::string time;
    std::string text;

    auto operator<=>(const Entry &) const = default;
};

/// The time of a line; it may stand behind what a collector of logs has put before it.
std::string timeOf(const std::string &line)
{
    static const std::regex form{R"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3})"};
    std::smatch found;
    return std::regex_search(line, found, form) ? found.str() : std::string{};
}

/// Words of the detail, which stands in parentheses.
std::set<std::string> wordsOf(const std::string &line)
{
    static const std::regex form{R"([^\s,()]+)"};
    std::set<std::string> words;
    const auto open = line.find('(');
    if (open == std::string::npos) {
        return words;
    }
    const std::string detail = line.substr(open);
    for (std::sregex_iterator it{detail.begin(), detail.end(), form}; it != std::sregex_iterator{};
         ++it) {
        words.insert(it->str());
    }
    return words;
}

/// The upstream that a line of the upstream part is about; empty for all other lines.
std::string upstreamOf(const std::string &line)
{
    static const std::regex form{R"( upstream: \S+ \S+ \(([^\s,()]+))"};
    std::smatch found;
    return std::regex_search(line, found, form) ? found.str(1) : std::string{};
}

} // namespace

std::vector<std::string> jobTimeline(std::string_view job, const std::vector<VmLog> &logs)
{
    const std::string mark = "job=" + std::string{job};
    std::vector<Entry> entries;
    std::set<std::string> named;
    std::map<std::string, std::vector<Entry>> ofUpstream;
    for (const VmLog &log : logs) {
        for (const std::string &line : log.lines) {
            Entry entry{timeOf(line), log.name + ": " + line};
            if (entry.time.empty()) {
                continue;
            }
            if (line.ends_with(mark)) {
                named.merge(wordsOf(line));
                entries.push_back(std::move(entry));
            } else if (const std::string upstream = upstreamOf(line); !upstream.empty()) {
                ofUpstream[upstream].push_back(std::move(entry));
            }
        }
    }
    if (entries.empty()) {
        return {};
    }
    const std::string end = std::ranges::max_element(entries, {}, &Entry::time)->time;
    for (auto &[upstream, lines] : ofUpstream) {
        if (!named.contains(upstream)) {
            continue;
        }
        std::erase_if(lines, [&](const Entry &it) { return it.time > end; });
        std::ranges::sort(lines);
        const auto count = std::min(lines.size(), linesPerUpstream);
        entries.insert(entries.end(), lines.end() - static_cast<std::ptrdiff_t>(count),
                       lines.end());
    }
    std::ranges::sort(entries);
    std::vector<std::string> result;
    for (Entry &it : entries) {
        result.push_back(std::move(it.text));
    }
    return result;
}

} // namespace rattandock::app
