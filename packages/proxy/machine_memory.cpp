#include "machine_memory.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sys/resource.h>
#include <unistd.h>

namespace cassiaspan {

std::size_t find_machine_memory() {
    constexpr std::size_t unknown = std::numeric_limits<std::size_t>::max();
    std::size_t bytes = unknown;
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    if (pages > 0 && page_bytes > 0) {
        bytes = static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
    }
    constexpr std::array<int, 2> memory_limits{RLIMIT_AS, RLIMIT_DATA};
    for (const int limit : memory_limits) {
        rlimit found{};
        if (::getrlimit(limit, &found) == 0 && found.rlim_cur != RLIM_INFINITY) {
            bytes = std::min<std::size_t>(bytes, found.rlim_cur);
        }
    }
    return bytes == unknown ? 0 : bytes;
}

} // namespace cassiaspan
