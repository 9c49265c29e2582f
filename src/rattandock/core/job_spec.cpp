#include "rattandock/core/job_spec.hpp"

#include <xxhash.h>

namespace rattandock::core {

namespace {

class Digester
{
public:
    void add(std::uint64_t value) { m_hash = XXH3_64bits_withSeed(&value, sizeof value, m_hash); }

    void add(const std::string &text)
    {
        add(text.size());
        m_hash = XXH3_64bits_withSeed(text.data(), text.size(), m_hash);
    }

    SpecDigest result() const { return SpecDigest{m_hash}; }

private:
    std::uint64_t m_hash = 0;
};

} // namespace

SpecDigest digestOf(const JobSpec &job)
{
    Digester digester;
    digester.add(job.team.value());
    digester.add(static_cast<std::uint64_t>(job.deadline.count()));
    digester.add(job.tasks.size());
    for (const TaskSpec &it : job.tasks) {
        digester.add(it.payload);
        digester.add(static_cast<std::uint64_t>(it.estimate.count()));
        digester.add(it.needs.cores.value());
        digester.add(it.needs.memory.value());
        digester.add(it.needs.accelerators.value());
    }
    return digester.result();
}

} // namespace rattandock::core
