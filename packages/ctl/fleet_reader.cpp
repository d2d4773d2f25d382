#include "fleet_reader.h"

#include "http_client.h"

#include <atomic>
#include <google/protobuf/util/json_util.h>
#include <thread>

namespace cassiaspan {

namespace {

constexpr milliseconds status_timeout{1000};
constexpr std::size_t readers = 16;
constexpr int http_ok = 200;

std::optional<schema::Status> read_status(const schema::Vm& vm, watchdog& guard, const clock& time) {
    const auto address = parse_address(vm.admin_address());
    if (!address) {
        return std::nullopt;
    }
    connection_pool pool(*address);
    const auto answer =
        exchange(pool, guard, {"GET", "/statusz", "text/plain", "", status_timeout, {}}, time);
    schema::Status status;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!answer || answer->status != http_ok ||
        !google::protobuf::util::JsonStringToMessage(answer->body, &status, options).ok()) {
        return std::nullopt;
    }
    return status;
}

} // namespace

std::vector<vm_status> read_fleet(const schema::VmList& list, watchdog& guard, const clock& time) {
    std::vector<vm_status> fleet(static_cast<std::size_t>(list.vms_size()));
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(readers, fleet.size()); ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < fleet.size(); index = next++) {
                fleet[index].vm = list.vms(static_cast<int>(index));
                fleet[index].status = read_status(fleet[index].vm, guard, time);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return fleet;
}

} // namespace cassiaspan
