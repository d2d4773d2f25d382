// Changes of the configuration: a compare-and-swap of the head, settled by reading when an answer is lost,
// and the wait until a majority of the members hold it.
#pragma once

#include "config.pb.h"
#include "ctl_options.h"
#include "findings.h"
#include "head.pb.h"
#include "store_client.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// The configuration in force, as it stands in the store. Revision 0: there is none yet.
struct stored_configuration {
    std::uint64_t revision = 0;
    schema::Head head;
    schema::Configuration configuration;
};

// What the operator wants: edits the configuration, or returns why that cannot be.
using configuration_edit = std::function<findings(schema::Configuration&)>;

// One change to make.
struct change_request {
    configuration_edit edit;
    std::string operator_name;
    std::string summary;
    // Names the change, so that a lost answer can be settled. Unique.
    std::string change_id;
    // 0 for the present generation.
    std::uint64_t base = 0;
    // Whether the edit may be made again on a newer configuration; otherwise another change is a conflict.
    bool repeat_on_newer = false;
};

// How a change ended, with the text for the operator.
struct change_result {
    exit_code code = exit_code::failed;
    std::string text;
    std::uint64_t generation = 0;
};

// Reads the configuration in force.
[[nodiscard]] tl::expected<stored_configuration, std::string> read_configuration(store_client& store);

// Makes the change, or finds that it is in force already.
[[nodiscard]] change_result make_change(store_client& store, const change_request& request);

// Which members hold a generation.
struct acceptance {
    bool accepted = false;
    std::vector<std::string> holding;
    std::vector<std::string> missing;
};

// Judges from what each VM said about itself.
[[nodiscard]] acceptance judge_acceptance(const schema::Head& head, std::uint64_t generation,
                                          const std::vector<std::pair<std::uint64_t, std::uint64_t>>& held);

} // namespace cassiaspan
