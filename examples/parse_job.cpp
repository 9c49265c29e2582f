// Reads a job in JSON, shows every fault of a bad one, and formats an answer.
#include <iostream>

#include "rattandock/adapters/job_json.hpp"

using namespace rattandock;

int main()
{
    const adapters::JobLimits limits;
    const auto bad = adapters::parseJob(R"({"id":"k","tasks":[{"payload":1}]})", limits);
    if (bad) {
        std::cerr << "a bad job was accepted\n";
        return 1;
    }
    std::cout << describe(bad.error());

    const auto job = adapters::parseJob(
            R"({"id":"k","deadlineMs":500,"tasks":[{"payload":"p","estimateMs":50}]})", limits);
    if (!job) {
        std::cerr << describe(job.error());
        return 1;
    }
    std::cout << adapters::formatAnswer(job.value().id, core::Complete{{"12 plants"}});
    return 0;
}
