#include "rattandock/adapters/rcu_thread.hpp"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace rattandock::adapters {

namespace {

/// liburcu keeps a list of the threads that read.
struct Registration
{
    Registration() { urcu_memb_register_thread(); }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;
    ~Registration() { urcu_memb_unregister_thread(); }
};

#if defined(__SANITIZE_THREAD__)
// liburcu is not built with the sanitizer, so the order of the end of a read section before the
// end of a wait is reported to it here.
char endOfSections;

void sectionEnds()
{
    __tsan_release(&endOfSections);
}
void waitEnds()
{
    __tsan_acquire(&endOfSections);
}
#else
void sectionEnds()
{
}
void waitEnds()
{
}
#endif

} // namespace

RcuReadSection::RcuReadSection()
{
    thread_local const Registration registration;
    urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection()
{
    sectionEnds();
    urcu_memb_read_unlock();
}

void waitForRcuReaders()
{
    urcu_memb_synchronize_rcu();
    waitEnds();
}

} // namespace rattandock::adapters
