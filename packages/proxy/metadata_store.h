// Client interface of the platform's key-value store, which keeps its data when VMs are replaced: range
// reads, watches, writes and leases. The folder platform/ implements the store's protocol.
#pragma once

#include "asio_types.h"
#include "clock.h"
#include "store_mirror.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cassiaspan {

// Why a store call failed.
enum class store_failure {
    // No response arrived: the call may have taken effect or may still do so later.
    unanswered,
    // The store is temporarily unavailable: the call had no effect.
    unavailable,
    // The changes after the position that a watch starts from are unknown: they were compacted, or the store
    // was restored from an older copy since.
    history_lost,
    // A precondition failed, or the lease does not exist.
    rejected,
    // The response could not be parsed.
    malformed,
    // The response began and then stopped arriving, or arrived too slowly; see store_transfer.h. A call that
    // writes may have taken effect.
    stalled,
    too_slow,
    // The response is larger than any that the store should send, or than is worth reading: the changes that
    // a watch returns cost more than all items. Reading all items instead may succeed.
    oversized,
    superseded
};

// Result of a read or watch: the items or changes, and the position of the store that they correspond to.
struct store_read_result {
    std::vector<store_change> changes;
    store_position position;
    auto operator<=>(const store_read_result&) const = default;
};

// What a watch has to cost less than: reading all items.
struct watch_alternative {
    // Bytes of all items, as responses of the store contain them.
    std::uint64_t full_read_bytes = 0;
    // For how long the VM has known that it may lack changes.
    milliseconds known_age{};
    auto operator<=>(const watch_alternative&) const = default;
};

// The course of a call, for logs and metrics.
struct store_call_report {
    // Bytes of the responses, and what their headers announced of their bodies.
    std::uint64_t received_bytes = 0;
    std::uint64_t announced_bytes = 0;
    milliseconds duration{};
    // When the last response began to arrive. The store's contents are known up to then.
    instant responded_at;
    auto operator<=>(const store_call_report&) const = default;
};

// A lease and the time after which it expires unless it is renewed.
struct store_lease {
    std::uint64_t id = 0;
    // Epoch of the store in which the lease was granted. In a later one the lease may not exist, or its id
    // may belong to a lease of another VM.
    std::uint64_t epoch = 0;
    milliseconds time_to_live{};
    auto operator<=>(const store_lease&) const = default;
};

// Awaitable result of a store call.
template <class Value> using store_result = boost::asio::awaitable<tl::expected<Value, store_failure>>;

// One connection to the store. At most one call may be in progress at a time.
class metadata_store {
public:
    virtual ~metadata_store() = default;
    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    metadata_store(metadata_store&&) = delete;
    metadata_store& operator=(metadata_store&&) = delete;

    // Reads all items under the prefix. The items are the current ones, never from a stale replica: a stale
    // read does not show from which revision on changes are missing. The returned position is that of
    // the first page; a watch from there delivers all later changes. Fails with `history_lost` if the store
    // was restored during the read.
    virtual store_result<store_read_result> read_all(std::string prefix) = 0;
    // Long poll: waits up to `wait` for changes after `position` and returns them; no changes on expiry.
    // Fails with `superseded` or `oversized` if they should be learned from `alternative` instead.
    virtual store_result<store_read_result> watch(std::string prefix, store_position position,
                                                  milliseconds wait, watch_alternative alternative) = 0;
    // Writes an item that the store removes when its lease ends. Returns the position of the write. Fails
    // with `rejected` if the store has been restored since the lease was granted.
    virtual store_result<store_position> put(std::string key, std::string value, store_lease lease) = 0;
    // Creates a lease that expires after `time_to_live`.
    virtual store_result<store_lease> grant_lease(milliseconds time_to_live) = 0;
    // Extends a lease by its time to live. Fails with `rejected` if the lease does not exist or the store has
    // been restored since it was granted.
    virtual store_result<store_lease> renew_lease(store_lease lease) = 0;
    // Removes an item if `position` is its last write; fails with `rejected` otherwise.
    virtual store_result<bool> remove(std::string key, store_position position) = 0;
    // Returns the course of the calls since this function was called last.
    virtual store_call_report take_report() = 0;
};

// Returns the bytes of all items of the mirror as responses of the store contain them.
[[nodiscard]] std::uint64_t estimate_full_read_bytes(const store_mirror& mirror);

// Returns the name of the failure as it appears in the log and in metric labels.
[[nodiscard]] const char* to_string(store_failure failure);

} // namespace cassiaspan
