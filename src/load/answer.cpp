#include <boost/json/parse.hpp>

#include "load/load_run.hpp"

namespace rattandock::load {

namespace json = boost::json;

namespace {

struct Answer
{
    std::string outcome;
    std::string reason;
    bool partial = false;
    bool crossed = false;
};

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : "";
}

void judgeResults(const PlannedJob &job, const json::object &object, Answer &answer)
{
    const auto *results = object.if_contains("results");
    if (results == nullptr || !results->is_array()
        || results->get_array().size() != job.estimates.size()) {
        answer.partial = true;
        return;
    }
    for (std::size_t n = 0; n < job.estimates.size(); ++n) {
        const json::value &result = results->get_array()[n];
        const std::string expected = "done:" + payloadOf(job, n);
        answer.crossed = answer.crossed || !result.is_string() || result.get_string() != expected;
    }
}

Answer readAnswer(const PlannedJob &job, const Exchange &exchange, const std::string &id)
{
    if (exchange.end != ExchangeEnd::Answered) {
        const bool connected = exchange.end == ExchangeEnd::Lost;
        return {connected ? "lost" : "not-connected", "", false, false};
    }
    json::error_code ec;
    const json::value value = json::parse(exchange.body, ec);
    Answer answer;
    if (ec || !value.is_object() || textOf(value.get_object(), "outcome").empty()) {
        answer.outcome = "error";
        answer.reason = std::to_string(exchange.status);
        return answer;
    }
    const json::object &object = value.get_object();
    answer.outcome = textOf(object, "outcome");
    answer.reason = textOf(object, "reason");
    answer.crossed = textOf(object, "id") != id;
    if (answer.outcome == "complete") {
        judgeResults(job, object, answer);
    }
    return answer;
}

/// Whether a later answer for the same id may follow the first.
bool mayFollow(const JobRecord &first, const Answer &later)
{
    if (first.outcome == "complete") {
        // A body may have been dropped, and a lost VM may leave the outcome unknown.
        return later.outcome == "complete" || later.outcome == "unknown"
               || later.reason == "answer-evicted";
    }
    if (first.outcome == "not-run") {
        return later.outcome == "not-run" || later.outcome == "unknown";
    }
    if (first.outcome == "failed") {
        return later.outcome == "failed" || later.outcome == "unknown";
    }
    return true;
}

bool isFinal(const std::string &outcome)
{
    return outcome == "complete" || outcome == "failed" || outcome == "not-run";
}

} // namespace

void judgeAnswer(const PlannedJob &job, const Exchange &exchange, JobRecord &record)
{
    const Answer answer = readAnswer(job, exchange, record.id);
    record.partial = record.partial || answer.partial;
    record.crossed = record.crossed || answer.crossed;
    if (!isFinal(record.outcome)) {
        const bool better =
                record.outcome.empty() || isFinal(answer.outcome) || answer.outcome == "unknown";
        if (better) {
            record.outcome = answer.outcome;
            record.reason = answer.reason;
        }
        return;
    }
    const bool noAnswer = exchange.end != ExchangeEnd::Answered;
    if (!noAnswer && !mayFollow(record, answer)) {
        record.contradictions.push_back(answer.outcome);
    }
}

} // namespace rattandock::load
