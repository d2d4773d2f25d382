// The targets that discovery has named, with what this VM believes of each and the connections to it.
#pragma once

#include "asio_types.h"
#include "cold_pacing.h"
#include "target_health.h"
#include "target_info.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cassiaspan {

// An open connection to a target.
struct target_connection {
    explicit target_connection(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    instant last_used;
    // How long the target keeps the connection open while it is idle.
    milliseconds keep_alive{};
};

// What a target last said of its own load.
struct load_report {
    double requests = 0;
    std::size_t in_flight_at_report = 0;
    instant reported_at;
};

// One incarnation of a target.
struct target_record {
    target_info info;
    // Hash of the id, equal on all VMs.
    std::uint64_t identity = 0;
    target_health health;
    instant first_seen;
    cold_pacing cold;
    instant cold_until;
    // The target was unreachable or broke off: it may come back cold before its entry says so.
    bool may_have_restarted = false;
    // Requests of this VM at the target, and of the other VMs by their last reports.
    std::size_t in_flight = 0;
    std::size_t peers_in_flight = 0;
    std::optional<load_report> last_load_report;
    // The entry is gone; the target is used until then, in case that the entry only lapsed while the store
    // was away.
    std::optional<instant> removal_due_at;
    std::vector<std::unique_ptr<target_connection>> idle_connections;
    std::size_t open_connections = 0;
};

using target_ptr = std::shared_ptr<target_record>;

class target_table {
public:
    // Takes in an entry. Returns whether anything but the cold state is new.
    bool upsert(const target_info& info, instant now);
    // Drops a target at `when`; it stays usable until then.
    void schedule_removal(const std::string& id, instant when);
    // Drops targets whose time has come.
    void remove_expired(instant now);
    // Closes all idle connections, before the event loop that they belong to ends.
    void close_idle_connections();

    [[nodiscard]] const std::vector<target_ptr>& find_by_service(const std::string& service) const;
    [[nodiscard]] target_ptr find_by_hash(std::uint32_t identity_low) const;
    [[nodiscard]] const std::map<std::string, target_ptr>& all() const { return this->by_id; }

private:
    void erase(const std::string& id);
    void insert(const target_ptr& target);

    std::map<std::string, target_ptr> by_id;
    std::unordered_map<std::string, std::vector<target_ptr>> by_service;
    std::unordered_map<std::uint32_t, target_ptr> by_hash;
};

// Returns the lower half of a hash, which stands for the target in datagrams.
[[nodiscard]] inline std::uint32_t low_32_bits(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash);
}

// Returns the load of a target over all VMs: its own word where that is fresh, else what the VMs report.
[[nodiscard]] double estimate_load(const target_record& target, instant now);

} // namespace cassiaspan
