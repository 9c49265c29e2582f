#include "metric_tables.hpp"

#include "rattandock/core/placement_policy.hpp"
#include "rattandock/core/reason.hpp"
#include "rattandock/fleet/fleet_action.hpp"
#include "rattandock/fleet/submission.hpp"

namespace rattandock::adapters::detail {

namespace {

template <typename Reason>
std::vector<std::string_view> namesOf(std::size_t count)
{
    std::vector<std::string_view> names;
    for (std::size_t n = 0; n < count; ++n) {
        names.push_back(name(static_cast<Reason>(n)));
    }
    return names;
}

/// How runs end that are started again, and why orders had no effect.
std::vector<std::string_view> runRepeats()
{
    std::vector<std::string_view> names{"failed", "stopped", "lapsed",
                                        "broken", "alone",   "crashed"};
    for (const std::string_view it : namesOf<fleet::OrderResult>(fleet::orderResultCount)) {
        if (it != "done") {
            names.push_back(it);
        }
    }
    return names;
}

/// What a VM answers to offers of other VMs.
std::vector<std::string_view> offerAnswers()
{
    auto names = namesOf<fleet::OfferResult>(fleet::offerResultCount);
    names.push_back("tasks-returned");
    return names;
}

std::vector<std::string_view> placementReasonNames()
{
    return {core::placementReasons.begin(), core::placementReasons.end()};
}

} // namespace

std::vector<CounterFamily> counterFamilies()
{
    const auto refusals = namesOf<core::RefusalReason>(core::refusalReasonCount);
    const auto failures = namesOf<core::FailureReason>(core::failureReasonCount);
    const auto unknowns = namesOf<core::UnknownReason>(core::unknownReasonCount);
    const auto notStarted = namesOf<core::NotStartedReason>(core::notStartedReasonCount);
    return {
            {"answers_complete", "Answers to callers with every result.", {"complete"}},
            {"answers_failed", "Answers of jobs that started and failed.", failures},
            {"answers_not_run", "Refusals given to callers.", refusals},
            {"answers_unknown", "Answers of jobs that may have run.", unknowns},
            {"bad_requests",
             "Requests refused without an outcome.",
             {"bad-escape", "bad-job", "body-too-large", "header-too-large", "malformed",
              "method-not-allowed", "no-buffer-space", "evicted", "slow-sender",
              "too-many-connections", "truncated", "unknown-job", "unknown-route", "unknown-team"}},
            {"job_accepted", "Jobs that were queued.", {"home-form", "key-form"}},
            {"job_joined", "Resubmissions that joined their job.", {"resubmission"}},
            {"job_refused", "Refusals that were recorded.", refusals},
            {"job_ended",
             "Jobs that ended, by outcome.",
             {"complete", "failed", "not-run", "unknown"}},
            {"task_placed", "Tasks sent to an upstream, by placement reason.",
             placementReasonNames()},
            {"task_resent", "Tasks sent again because they did not start.", notStarted},
            {"upstream_ejected", "Upstreams ejected after failures.", {"consecutive-failures"}},
            {"upstream_restored", "Ejected upstreams in use again.", {"probe-completed"}},
            {"upstream_leaving", "Upstreams that get no new work.", {"leaving"}},
            {"unknown_attempt",
             "Ends of attempts that the core does not know.",
             {"unknown-attempt"}},
            {"fleet_answers",
             "Answers to callers of a VM of a fleet.",
             {"completed", "failed", "turned-away", "broken-off", "caller-left"}},
            {"jobs_unsupported", "Jobs of a kind that is not supported.",
             namesOf<fleet::Unsupported>(fleet::unsupportedCount)},
            {"job_turned_away", "Jobs refused before any task started.",
             namesOf<fleet::TurnAwayReason>(fleet::turnAwayReasonCount)},
            {"job_broken_off", "Jobs without a result whose tasks may have started.",
             namesOf<fleet::BreakOffReason>(fleet::breakOffReasonCount)},
            {"job_failed", "Jobs with a task that is not tried again, or that were cancelled.",
             namesOf<fleet::FailureReason>(fleet::failureReasonCount)},
            {"job_completed", "Jobs whose tasks are all done.", {"done"}},
            {"tasks_offered",
             "Sets of tasks sent to another VM.",
             {"no-room-here", "shorter-queue"}},
            {"offer_ended",
             "Sets of tasks that another VM did not run or was lost with.",
             {"not-run", "link-down", "tasks-returned", "withdrawn"}},
            {"offer_answered", "Sets of tasks taken from another VM, by what became of them.",
             offerAnswers()},
            {"run_repeated", "Runs that are started again, by how they ended.", runRepeats()},
            {"upstream_claimed", "Upstreams that this VM began to keep.", {"claimed"}},
            {"upstream_released", "Upstreams given up for other VMs.", {"released"}},
            {"upstream_lost",
             "Upstreams lost while they ran tasks.",
             {"unlisted", "other-keeper", "released", "fenced", "other-incarnation"}},
            {"upstream_gone", "Upstreams that left the list.", {"unlisted"}},
            {"upstream_set_aside",
             "Upstreams that get no work for a while.",
             {"failures", "overdue", "unhealthy"}},
            {"peer_link", "Changes of links to other VMs.", {"up", "down"}},
            {"paused", "Times that the process stood still.", {"paused"}},
            {"evacuation_requested",
             "Evacuations of zones that this VM learned of, by source.",
             {"store", "peer"}},
            {"evacuation_withdrawn",
             "Ends of evacuations that this VM learned of, by source.",
             {"store", "peer"}},
            {"suspicion_adopted",
             "Upstreams of which the previous keeper was suspicious.",
             {"quarantined", "limited", "trusted"}},
            {"quarantine_widespread",
             "Changes between few and most upstreams of a zone in quarantine.",
             {"began", "ended"}},
            {"upstream_cold",
             "Changes between warm and cold of upstreams that this VM keeps, by source.",
             {"store", "peer"}},
            {"upstreams_limited",
             "Returns of zones after which the work of idle upstreams is limited.",
             {"zone-returned"}},
            {"upstream_limit_raised",
             "Steps of the work on upstreams of a zone that returned.",
             {"half", "full"}},
            {"configuration_in_force", "Configurations that came into force.", {"accepted"}},
    };
}

std::vector<GaugeFamily> gaugeFamilies()
{
    return {
            {"queued_tasks", "Tasks that wait for an upstream."},
            {"running_tasks", "Tasks that were sent and have not ended."},
            {"records", "Job records, running and finished."},
            {"caller_connections", "Open connections of the caller listener."},
            {"operator_connections", "Open connections of the operator listener."},
            {"decision_busy_share", "Share of the last second that the decision thread worked."},
            {"kept_upstreams", "Upstreams that this VM keeps."},
            {"linked_vms", "Other VMs with a link that is up."},
            {"evacuated_zones", "Zones that the operator evacuates."},
            {"limited_upstreams", "Upstreams of a zone that returned, with limited work."},
            {"resident_memory_bytes", "Resident memory of the process."},
    };
}

} // namespace rattandock::adapters::detail
