#include "rattandock/app/config_check.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <tuple>

namespace rattandock::app {

namespace {

std::string quoted(std::string_view text)
{
    return '"' + std::string{text} + '"';
}

std::string ms(Duration time)
{
    return std::to_string(toMilliseconds(time)) + " ms";
}

bool hasSpaceOrControl(std::string_view text)
{
    return std::ranges::any_of(text, [](unsigned char it) { return it <= 0x20U || it == 0x7fU; });
}

class Check
{
public:
    Check(const ConfigReading &reading, const ConfigFormat &format)
        : m_reading(reading)
        , m_queues(reading.config.queues)
        , m_format(format)
        , m_findings(reading.findings)
        , m_services(reading.services.begin(), reading.services.end())
    {
    }

    ConfigFindings run(std::optional<ConfigurationVersion> activeVersion)
    {
        checkVersion(activeVersion);
        if (m_reading.isAccepted && m_queues.empty()) {
            m_findings.add({ConfigRule::NoQueues, m_format.queuesPlace,
                            "there is no queue, so each job is refused", "add a queue"});
        }
        if (m_services.empty() && !m_queues.empty()) {
            m_findings.add({ConfigRule::NoServices, m_format.servicesPlace,
                            "no service is defined, so the services of queues are not compared",
                            "define each service that a queue names"});
        }
        for (std::size_t n = 0; n < m_queues.size(); ++n) {
            checkService(n);
            checkHost(n);
            checkPrefix(n);
            checkTimes(n);
            checkAdvice(n);
        }
        checkNames();
        checkPrefixes();
        return std::move(m_findings);
    }

private:
    void add(ConfigRule rule, std::size_t queue, QueueField field, std::string message,
             std::string remedy)
    {
        m_findings.add({rule, place(queue, field),
                        "queue " + quoted(m_queues[queue].id.value()) + ": " + std::move(message),
                        std::move(remedy)});
    }

    std::string place(std::size_t queue, QueueField field) const
    {
        return m_format.queuePlace(m_reading.positions[queue], field);
    }

    void checkVersion(std::optional<ConfigurationVersion> activeVersion)
    {
        const ConfigurationVersion version = m_reading.config.version;
        // Version 0 has a finding of the decoder.
        if (!activeVersion || version == ConfigurationVersion{} || version > *activeVersion) {
            return;
        }
        const std::string active = std::to_string(activeVersion->value());
        m_findings.add({ConfigRule::VersionNotAbove, m_format.versionPlace,
                        "version " + std::to_string(version.value())
                                + " is not above the active version " + active
                                + ", so the daemon ignores it",
                        "use a version above " + active});
    }

    void checkService(std::size_t n)
    {
        const fleet::ServiceId &service = m_queues[n].service;
        if (service.value().empty()) {
            add(ConfigRule::NoService, n, QueueField::Service, "it names no service",
                "name the service that runs its jobs");
        } else if (!m_services.empty() && !m_services.contains(service)) {
            add(ConfigRule::UnknownService, n, QueueField::Service,
                "service " + quoted(service.value()) + " is not defined",
                "define the service or name another one");
        }
    }

    void checkHost(std::size_t n)
    {
        const std::string &host = m_queues[n].host;
        if (host.empty()) {
            add(ConfigRule::HostNeverMatches, n, QueueField::Host,
                "the host is empty, so no request matches",
                "write the host of the callers' requests");
        } else if (host.find(':') != std::string::npos || hasSpaceOrControl(host)) {
            add(ConfigRule::HostNeverMatches, n, QueueField::Host,
                "host " + quoted(host)
                        + " never matches: hosts of requests are compared without their port",
                "write the host without port and spaces");
        } else if (std::ranges::any_of(host, [](char it) { return it >= 'A' && it <= 'Z'; })) {
            add(ConfigRule::HostUpperCase, n, QueueField::Host,
                "host " + quoted(host)
                        + " matches only requests that write it with the same capital letters",
                "write the host in lower case");
        }
    }

    void checkPrefix(std::size_t n)
    {
        const std::string &prefix = m_queues[n].pathPrefix;
        if (!prefix.empty() && prefix.front() != '/') {
            add(ConfigRule::PrefixNeverMatches, n, QueueField::PathPrefix,
                "prefix " + quoted(prefix) + " never matches: each path begins with /",
                "begin the prefix with /");
        } else if (prefix.find('?') != std::string::npos || hasSpaceOrControl(prefix)) {
            add(ConfigRule::PrefixNeverMatches, n, QueueField::PathPrefix,
                "prefix " + quoted(prefix)
                        + " never matches: a path ends before ? and has no spaces",
                "remove ? and spaces, or percent-encode them");
        }
    }

    void checkTimes(std::size_t n)
    {
        const fleet::QueueSpec &it = m_queues[n];
        if (it.stretch == 0 && it.targetLatency == Duration{}) {
            add(ConfigRule::NoObjective, n, QueueField::TargetLatency,
                "the objective of each job is 0 ms, so each answer counts as late",
                "set a target latency or a stretch above 0");
        }
        if (it.timeout == Duration{} || it.targetLatency == Duration{}) {
            return;
        }
        if (it.timeout < it.targetLatency) {
            add(ConfigRule::TimeoutBelowTarget, n, QueueField::Timeout,
                "the timeout of " + ms(it.timeout) + " is below the target latency of "
                        + ms(it.targetLatency),
                "raise the timeout or lower the target latency");
            return;
        }
        // Divided, because the product of both can overflow.
        const auto fitting = it.timeout / it.targetLatency;
        if (it.maxAttempts > fitting) {
            add(ConfigRule::AttemptsExceedTimeout, n, QueueField::MaxAttempts,
                std::to_string(it.maxAttempts) + " attempts of " + ms(it.targetLatency)
                        + " each (the target latency) do not fit into the timeout of "
                        + ms(it.timeout),
                "allow at most " + std::to_string(fitting) + " attempts or raise the timeout");
        }
    }

    void checkAdvice(std::size_t n)
    {
        if (m_queues[n].needsAdvice) {
            add(ConfigRule::AdviceUnsupported, n, QueueField::Advice,
                "the daemon does not ask for advice and refuses each job of this queue",
                "remove the advice");
        }
    }

    void checkNames()
    {
        std::map<std::string_view, std::size_t> first;
        for (std::size_t n = 0; n < m_queues.size(); ++n) {
            const std::string &id = m_queues[n].id.value();
            if (id.empty()) {
                add(ConfigRule::NoName, n, QueueField::Name,
                    "it has no name, so log lines and metrics cannot tell it apart", "name it");
                continue;
            }
            const auto [it, isNew] = first.emplace(id, n);
            if (!isNew) {
                add(ConfigRule::DuplicateName, n, QueueField::Name,
                    "the name is also that of " + place(it->second, QueueField::Name),
                    "give each queue a name of its own");
            }
        }
    }

    /// Finds queues with the same host and prefix, and those of which a longer prefix takes a part.
    void checkPrefixes()
    {
        std::vector<std::size_t> order(m_queues.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        // Stable, so that of equal ones the first in the configuration comes first. In this order a
        // prefix stands before all prefixes that continue it.
        std::ranges::stable_sort(order, [this](std::size_t a, std::size_t b) {
            return std::tie(m_queues[a].host, m_queues[a].pathPrefix)
                   < std::tie(m_queues[b].host, m_queues[b].pathPrefix);
        });
        // For each queue that is partly hidden, the first longer prefix and how many there are.
        std::map<std::size_t, std::pair<std::size_t, std::size_t>> hidden;
        std::vector<std::size_t> open;
        for (const std::size_t n : order) {
            const fleet::QueueSpec &queue = m_queues[n];
            while (!open.empty() && !continues(queue, m_queues[open.back()])) {
                open.pop_back();
            }
            if (!open.empty() && m_queues[open.back()].pathPrefix == queue.pathPrefix) {
                add(ConfigRule::DuplicateMatch, n, QueueField::PathPrefix,
                    "host and prefix are those of " + place(open.back(), QueueField::PathPrefix)
                            + ", which gets all of its jobs",
                    "remove one of both or change its prefix");
                continue;
            }
            if (!open.empty()) {
                const auto it = hidden.try_emplace(open.back(), n, std::size_t{0}).first;
                ++it->second.second;
            }
            open.push_back(n);
        }
        for (const auto &[queue, by] : hidden) {
            addHidden(queue, by.first, by.second);
        }
    }

    static bool continues(const fleet::QueueSpec &longer, const fleet::QueueSpec &shorter)
    {
        return longer.host == shorter.host && longer.pathPrefix.starts_with(shorter.pathPrefix);
    }

    void addHidden(std::size_t queue, std::size_t by, std::size_t count)
    {
        const std::string rest = m_queues[by].pathPrefix.substr(m_queues[queue].pathPrefix.size());
        const std::string others =
                count > 1 ? " (longer prefixes in all: " + std::to_string(count) + ')' : "";
        add(ConfigRule::PrefixHidden, queue, QueueField::PathPrefix,
            "jobs whose id begins with " + quoted(rest) + " go to "
                    + place(by, QueueField::PathPrefix) + others,
            "use prefixes of which none continues another, or ids that do not begin like this");
    }

    const ConfigReading &m_reading;
    const std::vector<fleet::QueueSpec> &m_queues;
    const ConfigFormat &m_format;
    ConfigFindings m_findings;
    const std::set<fleet::ServiceId> m_services;
};

} // namespace

ConfigFindings checkConfiguration(const ConfigReading &reading, const ConfigFormat &format,
                                  std::optional<ConfigurationVersion> activeVersion)
{
    return Check{reading, format}.run(activeVersion);
}

} // namespace rattandock::app
