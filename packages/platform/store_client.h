// The platform's key-value service and list of VMs, as one VM or operator uses them.
//
// Every call has a time-out and counts against a budget; after a failure calls wait with a growing, random
// pause.
#pragma once

#include "http_client.h"
#include "platform.pb.h"
#include "targets.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace cassiaspan {

// Why a call gave no answer. After `ambiguous` the service may have acted.
enum class store_failure { unreachable, ambiguous, over_budget };

// A value and the revision it is at; revision 0 means that the key does not exist.
struct stored_value {
    std::uint64_t revision = 0;
    std::string value;
    auto operator<=>(const stored_value&) const = default;
};

// How a write ended.
enum class cas_outcome { written, lost };

// How a client behaves towards the service.
struct store_options {
    socket_address store;
    socket_address vm_list;
    milliseconds timeout{};
    std::int64_t calls_per_second = 0;
    std::uint64_t seed = 0;
};

// A client of the platform. May be used from several threads.
class store_client {
public:
    store_client(const store_options& options_in, watchdog& guard_in, const clock& clock_in);

    // Reads a key.
    [[nodiscard]] tl::expected<stored_value, store_failure> get(const std::string& key);
    // Writes a key that is still at `expected_revision`.
    [[nodiscard]] tl::expected<cas_outcome, store_failure>
    compare_and_swap(const std::string& key, const std::string& value, std::uint64_t expected_revision);
    // Waits for up to `wait` until the key is past `revision`; returns what stands there then.
    [[nodiscard]] tl::expected<stored_value, store_failure> watch(const std::string& key,
                                                                  std::uint64_t revision, milliseconds wait);
    // Takes or renews a lease; returns whether `owner` holds it now.
    [[nodiscard]] tl::expected<bool, store_failure>
    take_lease(const std::string& name, const std::string& owner, milliseconds time_to_live);
    // Gives a lease back.
    void release_lease(const std::string& name, const std::string& owner);
    // Reads the list of VMs.
    [[nodiscard]] tl::expected<schema::VmList, store_failure> list_vms();

    // Calls made so far, to both services.
    [[nodiscard]] std::uint64_t calls() const { return this->call_count.load(); }
    // How long to pause before the next try; zero after a success.
    [[nodiscard]] milliseconds pause();

private:
    [[nodiscard]] tl::expected<std::string, store_failure> send(connection_pool& pool, const http_call& call);
    [[nodiscard]] tl::expected<schema::StoreReply, store_failure>
    call_store(const schema::StoreRequest& request, milliseconds timeout);
    [[nodiscard]] bool take_call();
    void note_result(bool success);

    store_options options;
    watchdog& guard;
    const clock& time;
    connection_pool store_pool;
    connection_pool vm_list_pool;
    std::atomic<std::uint64_t> call_count{0};
    std::mutex mutex;
    random_engine random;
    instant second_started;
    std::int64_t calls_in_second = 0;
    int failures_in_row = 0;
};

} // namespace cassiaspan
