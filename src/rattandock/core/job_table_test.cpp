#include "rattandock/core/job_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

JobHandle addComplete(JobTable &table, const std::string &id, std::size_t bytes,
                      TimePoint expiresAt)
{
    JobSpec job;
    job.id = JobId{id};
    job.tasks.resize(1);
    const JobHandle handle = table.add(job, TimePoint{1s}, expiresAt);
    table.at(handle).states[0] = TaskState::Done;
    table.end(handle, Complete{{std::string(bytes, 'x')}});
    return handle;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobTableTest)

// Guards against a wrong total of stored bytes and a wrong eviction order after records with and
// without a stored body have expired.
BOOST_AUTO_TEST_CASE(countsOnlyTheBodiesThatAreStored)
{
    JobTable table{100, Bytes{100}};
    addComplete(table, "a", 60, TimePoint{10s});
    const JobHandle b = addComplete(table, "b", 30, TimePoint{20s});
    addComplete(table, "empty", 0, TimePoint{10s});
    table.addWithOutcome(JobId{"cancelled"}, NotRun{RefusalReason::Cancelled, std::nullopt},
                         TimePoint{1s}, TimePoint{10s});
    BOOST_TEST(table.size() == 4);
    table.eraseExpired(TimePoint{10s});
    BOOST_TEST(table.size() == 1);

    const JobHandle c = addComplete(table, "c", 70, TimePoint{20s});
    BOOST_TEST(std::holds_alternative<Complete>(*table.at(b).outcome));
    addComplete(table, "d", 1, TimePoint{20s});
    const JobOutcome evicted = Failed{FailureReason::AnswerEvicted, {TaskIndex{0}}};
    BOOST_TEST((*table.at(b).outcome == evicted));
    BOOST_TEST(std::holds_alternative<Complete>(*table.at(c).outcome));
    table.eraseExpired(TimePoint{20s});
    BOOST_TEST(table.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
