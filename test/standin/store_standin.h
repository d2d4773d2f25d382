// Stand-in for the platform's key-value service: compare-and-swap, leases and watches, in memory.
#pragma once

#include "http_server.h"
#include "platform.pb.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace cassiaspan::standin {

// Faults that a test may switch on.
struct store_faults {
    // Every call is answered with status 500.
    bool down = false;
    // Calls take this much longer.
    milliseconds delay{0};
    // Writes take effect, but their answers are lost.
    bool lose_write_answers = false;
};

class store_standin {
public:
    explicit store_standin(const clock& clock_in) : time(clock_in) {}
    int serve(mg_connection* connection, const mg_request_info& info);

private:
    struct stored {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct lease {
        std::string owner;
        instant until;
    };

    int serve_control(mg_connection* connection, const mg_request_info& info);
    int serve_call(mg_connection* connection);
    schema::StoreReply handle(const schema::StoreRequest& request);
    schema::StoreReply handle_cas(const schema::StoreCas& cas);
    schema::StoreReply handle_watch(std::unique_lock<std::mutex>& lock, const schema::StoreWatch& watch);
    schema::StoreReply handle_lease(const schema::StoreLease& request);
    [[nodiscard]] schema::StoreReply read(const std::string& key) const;

    const clock& time;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, stored> values;
    std::map<std::string, lease> leases;
    std::uint64_t revision = 0;
    std::uint64_t calls = 0;
    store_faults faults;
};

} // namespace cassiaspan::standin
