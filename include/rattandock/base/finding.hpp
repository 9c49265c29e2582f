#pragma once

#include <string>
#include <utility>
#include <vector>

namespace rattandock {

/// One fault in input, with the place where it stands.
struct Finding
{
    /// A JSON path such as `$.tasks[3].payload`, or a file with an offset.
    std::string place;
    /// What is wrong and what is allowed, as one sentence without a full stop.
    std::string message;

    friend bool operator==(const Finding &, const Finding &) = default;
};

/// Collects findings so that they are reported together.
/// Thread safety: none; one thread at a time.
class Findings
{
public:
    void add(std::string place, std::string message)
    {
        m_items.push_back({std::move(place), std::move(message)});
    }

    bool empty() const { return m_items.empty(); }
    const std::vector<Finding> &items() const { return m_items; }

private:
    std::vector<Finding> m_items;
};

/// One line per finding, as `PLACE: MESSAGE`.
std::string describe(const Findings &findings);

} // namespace rattandock
