#include "standins/upstream/standin_upstream.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>

#include "rattandock/adapters/job_json.hpp"

namespace rattandock::standins {

using adapters::HttpRequest;
using adapters::HttpResponse;

namespace {

/// The longest hang; bounds the memory of requests whose sender has left.
constexpr std::chrono::seconds longestHang{60};
constexpr std::chrono::milliseconds hangPoll{10};
constexpr std::int64_t maxEstimateMs = 3'600'000;

std::optional<std::int64_t> wholeNumber(std::string_view text, std::int64_t max)
{
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isValid =
            ec == std::errc{} && end == text.data() + text.size() && value >= 0 && value <= max;
    return isValid ? std::optional{value} : std::nullopt;
}

/// One field of the start log: not empty, printable, no space.
bool isLogField(std::string_view text)
{
    return !text.empty()
           && std::ranges::all_of(text, [](unsigned char it) { return it > 32 && it < 127; });
}

Findings checkTask(const HttpRequest &request)
{
    Findings findings;
    const std::string &task = request.header("Rattandock-Task");
    if (!isLogField(task) || task.find('#') == std::string::npos) {
        findings.add("Rattandock-Task", "must be ID#INDEX, with the id percent-encoded");
    }
    if (!wholeNumber(request.header("Rattandock-Attempt"), INT64_MAX)) {
        findings.add("Rattandock-Attempt", "must be a whole number");
    }
    if (!wholeNumber(request.header("Rattandock-Estimate-Ms"), maxEstimateMs)) {
        findings.add("Rattandock-Estimate-Ms", "must be from 0 to 3600000");
    }
    return findings;
}

HttpResponse errorReply(unsigned status, std::string_view error, const Findings &findings)
{
    HttpResponse response;
    response.status = status;
    response.body = adapters::formatError(error, findings);
    return response;
}

} // namespace

StandinUpstream::StandinUpstream(std::string name, std::uint32_t slots, RunTimeModel model,
                                 double slowness, const StartLog &log)
    : m_name(std::move(name))
    , m_slots(slots)
    , m_model(model)
    , m_slowness(slowness)
    , m_log(log)
{
}

HttpResponse StandinUpstream::serve(const HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/tasks") {
        return runTask(request);
    }
    if (request.method == "POST" && request.path == "/faults") {
        return changeFaults(request);
    }
    if (request.method == "GET" && request.path == "/faults") {
        return showFaults();
    }
    Findings findings;
    findings.add("path", "is not a known route");
    return errorReply(404, "unknown-route", findings);
}

HttpResponse StandinUpstream::runTask(const HttpRequest &request)
{
    HttpResponse response;
    if (const Findings findings = checkTask(request); !findings.empty()) {
        response = errorReply(400, "bad-task", findings);
    } else if (const auto running = ++m_running; running > m_slots || m_faults.refuse) {
        --m_running;
        ++m_refused;
        response.status = 503;
        response.headers.emplace_back("Rattandock-Not-Started", "true");
    } else if (!m_log.add(m_name, request.header("Rattandock-Task"),
                          request.header("Rattandock-Attempt"))) {
        --m_running;
        // The line may be in the log in part, so this is not called a refusal before the start.
        response.status = 500;
    } else {
        ++m_started;
        runStarted(request, response);
        --m_running;
    }
    addCommonHeaders(request, response);
    return response;
}

void StandinUpstream::runStarted(const HttpRequest &request, HttpResponse &response)
{
    if (m_faults.reset || (m_faults.hang && waitWhileHanging())) {
        response.resetConnection = true;
        return;
    }
    const std::chrono::milliseconds estimate{
            wholeNumber(request.header("Rattandock-Estimate-Ms"), maxEstimateMs).value_or(0)};
    const Duration alone = runTimeOf(m_model, request.header("Rattandock-Task"), estimate);
    const auto run = std::chrono::duration_cast<Duration>(alone * m_slowness);
    if (run > Duration::zero()) {
        boost::this_fiber::sleep_for(run);
    }
    if (m_faults.failAll) {
        response.status = 500;
        return;
    }
    response.contentType = "application/octet-stream";
    response.body = "done:" + request.body;
}

bool StandinUpstream::waitWhileHanging() const
{
    const auto end = std::chrono::steady_clock::now() + longestHang;
    while (m_faults.hang && !m_stopping && std::chrono::steady_clock::now() < end) {
        boost::this_fiber::sleep_for(hangPoll);
    }
    return true;
}

void StandinUpstream::addCommonHeaders(const HttpRequest &request, HttpResponse &response)
{
    const auto attempt = wholeNumber(request.header("Rattandock-Attempt"), INT64_MAX);
    if (attempt) {
        response.headers.emplace_back("Rattandock-Attempt",
                                      std::to_string(static_cast<std::uint64_t>(*attempt)
                                                     + (m_faults.wrongEcho ? 1 : 0)));
    }
    if (m_faults.leaving && !response.resetConnection) {
        response.headers.emplace_back("Rattandock-Leaving", "true");
        std::int64_t none = 0;
        m_leavingShownAt.compare_exchange_strong(none, microsecondsSinceEpoch());
    }
}

HttpResponse StandinUpstream::changeFaults(const HttpRequest &request)
{
    if (const Findings findings = applyFaults(request.body, m_faults); !findings.empty()) {
        return errorReply(400, "bad-faults", findings);
    }
    if (!m_faults.leaving) {
        m_leavingShownAt = 0;
    }
    return showFaults();
}

HttpResponse StandinUpstream::showFaults() const
{
    const boost::json::object object{{"upstream", m_name},
                                     {"refuse", m_faults.refuse.load()},
                                     {"hang", m_faults.hang.load()},
                                     {"reset", m_faults.reset.load()},
                                     {"failAll", m_faults.failAll.load()},
                                     {"leaving", m_faults.leaving.load()},
                                     {"wrongEcho", m_faults.wrongEcho.load()},
                                     {"leavingShownAtUs", m_leavingShownAt.load()},
                                     {"running", m_running.load()},
                                     {"started", m_started.load()},
                                     {"refused", m_refused.load()}};
    HttpResponse response;
    response.body = boost::json::serialize(object) + '\n';
    return response;
}

} // namespace rattandock::standins
