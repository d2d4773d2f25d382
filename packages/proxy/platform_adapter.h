// What the product asks of the platform that it runs on: the meaning of the store's items and the form of the
// answers that the platform's callers expect. Implemented in the platform's folder; nothing else knows its
// names.
#pragma once

#include "header_names.h"
#include "metadata_store.h"
#include "steering_config.h"
#include "target_info.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiaspan {

// A target's entry was written; nothing in `info` means that the entry names no usable target.
struct target_entry_change {
    std::string id;
    std::optional<target_info> info;
    // What is wrong with an entry that was written, yet names no target.
    findings problems;
};

// The configuration was written.
struct config_change {
    std::shared_ptr<const steering_config> config;
};

// An availability zone is evacuated, or no longer.
struct evacuation_change {
    std::string availability_zone;
    bool evacuated = false;
};

// The item of another VM.
struct vm_record_change {
    std::string vm;
    std::string record;
    bool removed = false;
};

// An item that the product has no use for.
struct ignored_change {};

using decoded_change =
    std::variant<ignored_change, target_entry_change, config_change, evacuation_change, vm_record_change>;

// What a target says of its load in its answers.
struct target_load {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    auto operator<=>(const target_load&) const = default;
};

// A look-up by a caller.
struct lookup_query {
    std::string host;
    std::string region;
    std::string availability_zone;
};

class platform_adapter {
public:
    virtual ~platform_adapter() = default;
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    platform_adapter(platform_adapter&&) = delete;
    platform_adapter& operator=(platform_adapter&&) = delete;

    [[nodiscard]] virtual const header_names& headers() const = 0;
    // Decodes an item of the store, or says what is wrong with it.
    [[nodiscard]] virtual tl::expected<decoded_change, findings> decode(const store_change& change) const = 0;
    // Decodes a target's statement of its load, or nothing where it is malformed.
    [[nodiscard]] virtual std::optional<target_load> parse_target_load(std::string_view text) const = 0;
    // Returns the key of this VM's item.
    [[nodiscard]] virtual std::string vm_record_key(const std::string& vm) const = 0;
    // Returns whether the path is the platform's readiness check.
    [[nodiscard]] virtual bool is_readiness_check(std::string_view target) const = 0;
    // Returns the question of a look-up, or nothing where the path is none.
    [[nodiscard]] virtual std::optional<lookup_query> parse_lookup(std::string_view target) const = 0;
    // Returns the JSON body that answers a look-up.
    [[nodiscard]] virtual std::string render_lookup_reply(const std::vector<socket_address>& addresses,
                                                          seconds ttl) const = 0;
};

} // namespace cassiaspan
