#include "clock.h"

#include <ctime>

namespace cassiaspan {

instant boot_clock::now() const {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant{seconds{time.tv_sec} + nanoseconds{time.tv_nsec}};
}

std::int64_t unix_milliseconds() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

} // namespace cassiaspan
