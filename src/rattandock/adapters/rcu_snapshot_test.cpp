#include "rattandock/adapters/rcu_snapshot.hpp"

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace rattandock::adapters;

namespace {

std::atomic<int> liveValues = 0;

/// Both parts are the same text; the thread sanitizer sees a read of a freed value.
struct Pair
{
    explicit Pair(int n)
        : first(std::to_string(n) + std::string(100, 'x'))
        , second(first)
    {
        ++liveValues;
    }
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;
    ~Pair()
    {
        first.clear();
        --liveValues;
    }

    std::string first;
    std::string second;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RcuSnapshotTest)

// Guards against a value that is freed or changed while a thread reads it.
BOOST_AUTO_TEST_CASE(keepsAValueWhileItIsRead)
{
    {
        RcuSnapshot<Pair> snapshot{std::make_unique<const Pair>(0)};
        std::atomic<bool> done = false;
        std::atomic<int> mismatches = 0;
        std::atomic<int> reading = 0;
        std::vector<std::thread> readers;
        for (int n = 0; n < 3; ++n) {
            readers.emplace_back([&] {
                bool counted = false;
                while (!done) {
                    const bool same =
                            snapshot.read([](const Pair &it) { return it.first == it.second; });
                    mismatches += same ? 0 : 1;
                    reading += counted ? 0 : 1;
                    counted = true;
                }
            });
        }
        while (reading < 3) {
            std::this_thread::yield();
        }
        for (int n = 1; n <= 300; ++n) {
            snapshot.publish(std::make_unique<const Pair>(n));
        }
        done = true;
        for (auto &it : readers) {
            it.join();
        }
        BOOST_TEST(mismatches == 0);
        BOOST_TEST(liveValues == 1);
        BOOST_TEST(snapshot.read([](const Pair &it) { return it.first.substr(0, 3); }) == "300");
    }
    BOOST_TEST(liveValues == 0);
}

BOOST_AUTO_TEST_SUITE_END()
