#include <cstdlib>

#include "rattandock/adapters/job_json.hpp"

/// A job that parses must be within its bounds, and findings must make a bounded answer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace rattandock;
    constexpr std::size_t maxErrorBytes = 16U << 10U;
    const adapters::JobLimits limits;
    const auto job = adapters::parseJob({reinterpret_cast<const char *>(data), size}, limits);
    if (!job) {
        if (adapters::formatError("bad-job", job.error()).size() > maxErrorBytes) {
            std::abort();
        }
        return 0;
    }
    const std::size_t tasks = job.value().tasks.size();
    if (tasks == 0 || tasks > limits.maxTasks || job.value().deadline > limits.maxDeadline
        || job.value().id.value().empty()) {
        std::abort();
    }
    return 0;
}
