// The key-value store that outlives all VMs: items, ranges, watches and leases. The platform's adapter speaks
// its protocol.
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

// Why a call had no result.
enum class store_failure {
    // No answer: the call may take effect, even later.
    unanswered,
    // The store refuses calls at the moment: nothing was done.
    unavailable,
    // The history that a watch asked for is gone.
    history_lost,
    // A condition did not hold, or the lease does not exist.
    rejected,
    // The answer could not be understood.
    malformed
};

// Items and the revision that they were read at.
struct store_read_result {
    std::vector<store_change> changes;
    std::uint64_t revision = 0;
    auto operator<=>(const store_read_result&) const = default;
};

// A lease and the time for which it holds.
struct store_lease {
    std::uint64_t id = 0;
    milliseconds time_to_live{};
    auto operator<=>(const store_lease&) const = default;
};

template <class Value> using store_result = boost::asio::awaitable<tl::expected<Value, store_failure>>;

// One connection to the store. Calls are made one after the other.
class metadata_store {
public:
    virtual ~metadata_store() = default;
    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    metadata_store(metadata_store&&) = delete;
    metadata_store& operator=(metadata_store&&) = delete;

    // Reads all items under the prefix as they are now: a read that may be stale does not tell from which
    // revision on changes are missing. The revision is that of the first page: later changes are in a watch
    // that begins there.
    virtual store_result<store_read_result> read_all(std::string prefix) = 0;
    // Waits for changes after `revision`, at most for `wait`.
    virtual store_result<store_read_result> watch(std::string prefix, std::uint64_t revision,
                                                  milliseconds wait) = 0;
    // Writes an item that is removed with its lease.
    virtual store_result<std::uint64_t> put(std::string key, std::string value, std::uint64_t lease) = 0;
    virtual store_result<store_lease> grant_lease(milliseconds time_to_live) = 0;
    virtual store_result<store_lease> renew_lease(std::uint64_t lease) = 0;
    virtual store_result<bool> revoke_lease(std::uint64_t lease) = 0;
};

// Returns a word for the log.
[[nodiscard]] const char* to_string(store_failure failure);

} // namespace cassiaspan
