#include "rattandock/app/caller_api.hpp"

#include <boost/json/serialize.hpp>
#include <optional>

#include "rattandock/app/fiber_question.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

using adapters::HttpRequest;
using adapters::HttpResponse;

namespace {

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view tokensPath = "/v1/tokens";

/// The part of the path after `/v1/jobs/`, still encoded.
std::optional<std::string> encodedJobOf(const std::string &path)
{
    const std::string prefix = std::string{jobsPath} + '/';
    if (!path.starts_with(prefix) || path.size() == prefix.size()) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

std::string_view counterOf(const core::JobOutcome &outcome)
{
    return std::visit(Overloaded{[](const core::Complete &) { return "answers_complete"; },
                                 [](const core::Failed &) { return "answers_failed"; },
                                 [](const core::NotRun &) { return "answers_not_run"; },
                                 [](const core::Unknown &) { return "answers_unknown"; }},
                      outcome);
}

} // namespace

CallerApi::CallerApi(DecisionLoop &loop, AnswerBoard &answers, adapters::Metrics &metrics,
                     const ports::Clock &clock, const Routing &routing, core::TokenAuthority tokens)
    : m_loop(loop)
    , m_answers(answers)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_routing(routing)
    , m_tokens(std::move(tokens))
{
}

HttpResponse CallerApi::serve(const HttpRequest &request)
{
    HttpResponse response = route(request);
    if (m_loop.issuesTokens()) {
        response.headers.emplace_back("Rattandock-Home-Token",
                                      format(m_tokens.issue(m_clock.now())));
    }
    return response;
}

HttpResponse CallerApi::route(const HttpRequest &request)
{
    const bool isJobs = request.path == jobsPath;
    const bool isTokens = request.path == tokensPath;
    const auto encodedJob = encodedJobOf(request.path);
    Findings findings;
    if (isJobs && request.method == "POST") {
        return submit(request);
    }
    if (isTokens && request.method == "POST") {
        return issueToken();
    }
    if (encodedJob && (request.method == "GET" || request.method == "DELETE")) {
        const auto job = adapters::percentDecodeStrictly(*encodedJob);
        if (!job) {
            findings.add("id", "must be UTF-8 with valid percent escapes");
            return refuse(400, "bad-escape", findings);
        }
        return request.method == "GET" ? show(JobId{*job}) : cancel(JobId{*job});
    }
    if (isJobs || isTokens || encodedJob) {
        const std::string allowed = encodedJob ? "GET, DELETE" : "POST";
        findings.add("method", "must be one of " + allowed);
        HttpResponse response = refuse(405, "method-not-allowed", findings);
        response.headers.emplace_back("Allow", allowed);
        return response;
    }
    findings.add("path", "is not a known route");
    return refuse(404, "unknown-route", findings);
}

HttpResponse CallerApi::issueToken() const
{
    if (!m_loop.issuesTokens()) {
        return {503, "{\"error\":\"no-tokens\"}\n", {{"Retry-After", "1"}}};
    }
    const core::HomeToken token = m_tokens.issue(m_clock.now());
    boost::json::object object;
    object["token"] = format(token);
    object["lifetimeMs"] = toMilliseconds(token.lifetime);
    return {200, boost::json::serialize(object) + '\n', {}};
}

HttpResponse CallerApi::submit(const HttpRequest &request)
{
    const auto limits = m_routing.read([](const RoutingSnapshot &it) { return it.limits; });
    auto job = adapters::parseJob(request.body, limits);
    if (!job) {
        return refuse(400, "bad-job", job.error());
    }
    if (request.releaseBody) {
        request.releaseBody();
    }
    const bool knowsTeam = m_routing.read(
            [&job](const RoutingSnapshot &it) { return it.knows(job.value().team); });
    if (!knowsTeam) {
        Findings findings;
        findings.add("$.team", "is not a configured team");
        return refuse(400, "unknown-team", findings);
    }
    const JobId id = job.value().id;
    const CallerRequestId waiting = m_answers.open();
    m_loop.post(core::JobSubmitted{waiting, std::move(job.value())});
    const core::JobOutcome outcome = m_answers.wait(waiting);
    m_metrics.count(counterOf(outcome),
                    reasonName(outcome).empty() ? name(outcome) : reasonName(outcome));
    return {adapters::statusOf(outcome), adapters::formatAnswer(id, outcome), {}};
}

HttpResponse CallerApi::show(const JobId &job)
{
    const auto view = askAndWait(m_loop, [&job](core::Dispatcher &dispatcher, TimePoint) {
        return dispatcher.view(job);
    });
    if (!view) {
        Findings findings;
        findings.add("id", "is not known to this VM");
        return refuse(404, "unknown-job", findings);
    }
    return {200, adapters::formatView(*view), {}};
}

HttpResponse CallerApi::cancel(const JobId &job)
{
    m_loop.post(core::JobCancelled{job});
    return show(job);
}

HttpResponse CallerApi::refuse(unsigned status, std::string_view reason, const Findings &findings)
{
    m_metrics.count("bad_requests", reason);
    return {status, adapters::formatError(reason, findings), {}};
}

} // namespace rattandock::app
