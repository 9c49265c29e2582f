// Drives the decision core by hand: one job, one upstream, no I/O.
#include <iostream>

#include "rattandock/core/dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

int main()
{
    DispatcherOptions options;
    options.vm = VmId{"vm-1"};
    Dispatcher dispatcher{options, 1};
    Actions actions;
    TimePoint now{1s};

    UpstreamSpec upstream;
    upstream.id = UpstreamId{"u1"};
    dispatcher.handle(ConfigurationAccepted{ConfigurationVersion{1}, {upstream}, {}}, now, actions);

    JobSpec job;
    job.id = JobId{format(dispatcher.issueToken(now)) + "/stock-check-1"};
    job.deadline = 2s;
    job.tasks.push_back({"plants", 50ms, {}});
    dispatcher.handle(JobSubmitted{CallerRequestId{1}, job}, now, actions);

    for (const Action &it : Actions{actions}) {
        if (const auto *start = std::get_if<StartTask>(&it)) {
            now += 50ms;
            dispatcher.handle(AttemptEnded{start->attempt, AttemptCompleted{"12"}, 50ms, false},
                              now, actions);
        }
    }
    const auto *answer = std::get_if<AnswerCaller>(&actions.at(actions.size() - 2));
    if (answer == nullptr || name(answer->outcome) != "complete") {
        std::cerr << "no complete answer\n";
        return 1;
    }
    std::cout << "answer: " << std::get<Complete>(answer->outcome).results.at(0) << "\n";
    return 0;
}
