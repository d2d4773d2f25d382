// The targets known from service discovery, with their health, load and connections as this VM sees them.
#pragma once

#include "asio_types.h"
#include "cold_pacing.h"
#include "target_availability.h"
#include "target_health.h"
#include "target_info.h"
#include "target_speed.h"

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

// Limit of the bytes of a response that are kept until they can be parsed: the header, or in a chunked body a
// chunk's size with its extensions, or the trailer.
constexpr std::size_t max_unparsed_response_bytes = std::size_t{96} * 1024;

// A connection to a target.
struct target_connection {
    explicit target_connection(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    // Bytes that were read from the socket but not parsed yet.
    boost::beast::flat_buffer buffer{max_unparsed_response_bytes};
    // When the last response on the connection ended.
    instant last_used;
    // How long the target keeps the connection open while it is idle, from its Keep-Alive header; 0 if
    // unknown.
    milliseconds keep_alive_timeout{};
    // Hashes of the ids of requests that the target has refused on the connection.
    std::vector<std::uint64_t> refused_ids;
};

// The load that a target last reported in a response.
struct load_report {
    // Running and waiting requests at the target.
    double requests = 0;
    // Requests of this VM in flight at the target when the report arrived, including the one that carried it.
    std::size_t in_flight_at_report = 0;
    instant reported_at;
};

// State of one incarnation of a target, from its start to its stop.
struct target_record {
    target_info info;
    // The record is that of a peer that serves requests for this VM (relay.h).
    bool is_peer = false;
    // Hash of the id, equal on all VMs.
    std::uint64_t id_hash = 0;
    target_health health;
    target_availability availability;
    // When this VM learned of the incarnation.
    instant first_seen;
    // Epoch of the store in which the entry was written.
    std::uint64_t entry_epoch = 0;
    // Spacing of requests while the target is cold.
    cold_pacing pacing;
    // The target is cold up to this time.
    instant cold_until;
    // The target was unreachable. It may have restarted cold before its discovery entry says so.
    bool may_have_restarted = false;
    // When it was first unreachable since its last response.
    instant unreachable_since;
    // Requests in flight at the target from this VM, and from the other VMs according to their last reports.
    std::size_t in_flight = 0;
    std::size_t peers_in_flight = 0;
    // Bytes of the bodies of this VM's requests in flight.
    std::size_t body_bytes_in_flight = 0;
    std::optional<load_report> last_load_report;
    // The speed that the target last reported; empty if it reports none.
    std::optional<speed_report> last_speed_report;
    // Set if the discovery entry was removed: the target is used until this time, in case the entry only
    // expired because the store was unavailable.
    std::optional<instant> removal_due_at;
    // The connection pool. The connection that was used last is at the back.
    std::vector<std::unique_ptr<target_connection>> idle_connections;
    // Connections of this VM to the target: idle, in use, and being opened.
    std::size_t open_connections = 0;
};

using target_ptr = std::shared_ptr<target_record>;

// What an entry changed in the table.
enum class entry_effect {
    // Nothing, or only the remaining cold time and the sequence.
    none,
    changed,
    // The entry is outdated and was set aside.
    set_aside
};

// The targets of all services by id. Not thread-safe.
class target_table {
public:
    // Adds or updates a target from its discovery entry, and cancels its removal. An entry of another
    // incarnation replaces the record; one of an incarnation that was removed recently restores its record.
    // An outdated entry of a restored store is set aside instead: it takes effect only if the store still
    // holds it when apply_outdated_entries() is called. `epoch` is the epoch of the store in which the entry
    // was read.
    entry_effect upsert(const target_info& info, instant now, std::uint64_t epoch = 0);
    // Schedules the removal of a target; it stays usable until `due_at`. Has no effect if the target is
    // unknown or its removal is scheduled already. `epoch` is the epoch of the store in which the entry was
    // removed.
    void schedule_removal(const std::string& id, instant due_at, std::uint64_t epoch = 0);
    // Changes the number of requests that the other VMs have in flight at the target whose id hash has these
    // low 32 bits. The number is kept while the target is unknown, and when another incarnation replaces it.
    void add_peers_in_flight(std::uint32_t id_hash_low, std::int64_t change);
    // Removes targets whose removal is due.
    void apply_due_removals(instant now);
    // Applies the entries that were set aside.
    void apply_outdated_entries(instant now);
    // Closes the idle connections of all targets. Must be called before the event loop of their sockets is
    // destroyed.
    void close_idle_connections();

    // Returns the targets of the service; empty if it is unknown.
    [[nodiscard]] const std::vector<target_ptr>& find_by_service(const std::string& service) const;
    // Returns the target whose id hash has these low 32 bits, or null.
    [[nodiscard]] target_ptr find_by_hash(std::uint32_t id_hash_low) const;
    // Returns whether the record is that of a current target, not of a former incarnation.
    [[nodiscard]] bool is_current(const target_record& target) const;
    // Returns all targets by id.
    [[nodiscard]] const std::map<std::string, target_ptr>& all() const { return this->by_id; }

private:
    // The last entry of a target that was removed, and the epoch of its removal.
    struct removed_entry {
        target_info info;
        std::uint64_t epoch = 0;
        instant removed_at;
    };
    // The record of an incarnation that was removed or replaced. Its entry may come back.
    struct former_target {
        target_ptr target;
        instant erased_at;
    };
    // An outdated entry that a restored store contains.
    struct outdated_entry {
        target_info info;
        std::uint64_t epoch = 0;
    };

    [[nodiscard]] bool is_outdated(const target_info& info, std::uint64_t epoch) const;
    entry_effect apply(const target_info& info, instant now, std::uint64_t epoch);
    void erase(const std::string& id, instant now);
    [[nodiscard]] target_ptr take_former(const target_info& info);
    void erase_due_targets(instant now);
    void insert(const target_ptr& target);

    std::map<std::string, target_ptr> by_id;
    std::unordered_map<std::string, std::vector<target_ptr>> by_service;
    std::unordered_map<std::uint32_t, target_ptr> by_hash;
    // By the low 32 bits of the id hash.
    std::unordered_map<std::uint32_t, std::int64_t> peers_in_flight;
    // By target id.
    std::unordered_map<std::string, removed_entry> removed_entries;
    std::unordered_map<std::string, outdated_entry> outdated_entries;
    std::vector<former_target> former_targets;
};

// Closes the idle connections to the target.
void drop_idle_connections(target_record& target);

// Returns the low 32 bits of a hash, which identify targets, services and workspaces in gossip datagrams.
[[nodiscard]] inline std::uint32_t low_32_bits(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash);
}

// Returns the estimated number of requests at the target from all VMs. This is the count of all VMs'
// in-flight requests or, if higher, the target's last report plus this VM's change since then. Old reports
// are ignored.
[[nodiscard]] double estimate_load(const target_record& target, instant now);

// Returns the figures that the targets last reported about their speed, in percent, without those that are
// too old to describe the present. Linear in the number of targets.
[[nodiscard]] std::vector<std::uint32_t> recent_speed_percents(const target_table& targets, instant now);

} // namespace cassiaspan
