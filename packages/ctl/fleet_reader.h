// Reads the admin pages of all VMs.
#pragma once

#include "caller.pb.h"
#include "platform.pb.h"
#include "watchdog.h"

#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// One VM of the platform's list, with what it said about itself, if it answered.
struct vm_status {
    schema::Vm vm;
    std::optional<schema::Status> status;
};

// Asks every VM of the list, several at a time.
[[nodiscard]] std::vector<vm_status> read_fleet(const schema::VmList& list, watchdog& guard,
                                                const clock& time);

} // namespace cassiaspan
