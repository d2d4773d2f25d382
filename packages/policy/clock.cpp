#include "clock.h"

#include <ctime>

namespace cassiaspan {

instant boot_clock::now() const {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant{seconds{time.tv_sec} + nanoseconds{time.tv_nsec}};
}

} // namespace cassiaspan
