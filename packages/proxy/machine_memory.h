// What the system lets this process use.
#pragma once

#include <cstddef>

namespace cassiaspan {

// Returns the memory that this process may use at most, bytes: that of the machine, or the process's own
// limits of address space or data, if they are lower. 0 if none is known.
[[nodiscard]] std::size_t find_machine_memory();

} // namespace cassiaspan
