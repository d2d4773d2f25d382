// Interface to the platform that the product runs on: decodes store items and renders the replies that the
// platform's callers expect. The implementation in the folder platform/ is the only code that uses the
// platform's names.
#pragma once

#include "header_names.h"
#include "metadata_store.h"
#include "steering_config.h"
#include "target_info.h"
#include "target_speed.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiaspan {

// A target's entry was written or removed. `info` is empty if the entry was removed or describes no usable
// target.
struct target_entry_change {
    std::string id;
    std::optional<target_info> info;
    // Errors of an entry that was written but describes no usable target.
    findings problems;
};

// A new configuration was written.
struct config_change {
    std::shared_ptr<const steering_config> config;
};

// The evacuation of an availability zone started or ended.
struct evacuation_change {
    std::string availability_zone;
    bool evacuated = false;
};

// The record of a VM was written or removed. `record` is the serialized schema::VmRecord; empty on removal.
struct vm_record_change {
    std::string vm;
    std::string record;
    bool removed = false;
};

// An item that the product does not use.
struct ignored_change {};

// What a changed item of the store means.
using decoded_change =
    std::variant<ignored_change, target_entry_change, config_change, evacuation_change, vm_record_change>;

// Load that a target reports in its responses: requests being handled, requests queued, and request slots.
struct target_load {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    // How long work takes on the target's machine now, in percent of the usual time, 1 to max_speed_percent;
    // unset if the target does not report it.
    std::optional<std::uint32_t> speed_percent;
    auto operator<=>(const target_load&) const = default;
};

// A caller's lookup of the VMs to use.
struct lookup_query {
    std::string host;
    std::string region;
    std::string availability_zone;
};

// Decoder and renderer for one platform.
class platform_adapter {
public:
    virtual ~platform_adapter() = default;
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    platform_adapter(platform_adapter&&) = delete;
    platform_adapter& operator=(platform_adapter&&) = delete;

    // Returns the names of the HTTP headers that the platform uses.
    [[nodiscard]] virtual const header_names& headers() const = 0;
    // Decodes a changed item of the store; returns the errors found if the item is invalid.
    [[nodiscard]] virtual tl::expected<decoded_change, findings> decode(const store_change& change) const = 0;
    // Decodes the value of a target's load header; returns nothing if it is malformed.
    [[nodiscard]] virtual std::optional<target_load> parse_target_load(std::string_view text) const = 0;
    // Returns the store key of the VM's record.
    [[nodiscard]] virtual std::string vm_record_key(const std::string& vm) const = 0;
    // Returns whether the request target is the path of the platform's readiness check.
    [[nodiscard]] virtual bool is_readiness_check(std::string_view request_target) const = 0;
    // Decodes the request target of a lookup; returns nothing if it is not a lookup.
    [[nodiscard]] virtual std::optional<lookup_query> parse_lookup(std::string_view request_target) const = 0;
    // Returns the JSON body of a lookup reply. `ttl` is how long the caller may cache it.
    [[nodiscard]] virtual std::string render_lookup_reply(const std::vector<socket_address>& addresses,
                                                          milliseconds ttl) const = 0;
};

} // namespace cassiaspan
