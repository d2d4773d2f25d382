// Measures what docs/CAPACITY.md is worked out from: control of idle fleets and of fleets with changes at
// growing sizes, the cost of decisions, the block table, and the hop through one VM. Prints Markdown.
//
//   slopes [LARGEST_FLEET [SMALLEST_FLEET]]

#include "budget.h"
#include "config_snapshot.h"
#include "digest.h"
#include "members.h"
#include "prefix_table.h"
#include "steady_load.h"
#include "targets.h"
#include "test_fleet.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace {

using namespace cassiaspan;
using namespace cassiaspan::test;

const boot_clock wall;

double seconds_since(instant start) {
    return std::chrono::duration<double>(wall.now() - start).count();
}

// Processor time of a process in seconds, and resident memory in MiB.
struct usage {
    double cpu_s = 0;
    double resident_mib = 0;
};

usage read_usage(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> words;
    for (std::string word; fields >> word;) {
        words.push_back(word);
    }
    constexpr std::size_t user_time = 11;
    constexpr std::size_t resident_pages = 21;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return {(std::stod(words[user_time]) + std::stod(words[user_time + 1])) / ticks,
            std::stod(words[resident_pages]) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20)};
}

struct fleet_counts {
    double cpu_s = 0;
    double resident_mib = 0;
    double bytes = 0;
    double store_calls = 0;
};

fleet_counts count(test_fleet& fleet) {
    fleet_counts sum;
    const auto vms = static_cast<double>(fleet.setup().vms);
    for (std::size_t vm = 0; vm < fleet.setup().vms; ++vm) {
        const usage used = read_usage(fleet.vm(vm).id());
        sum.cpu_s += used.cpu_s / vms;
        sum.resident_mib += used.resident_mib / vms;
        if (const auto status = fleet.status(vm)) {
            sum.bytes +=
                static_cast<double>(status->control_bytes_sent() + status->control_bytes_received()) / vms;
            sum.store_calls += static_cast<double>(status->store_calls());
        }
    }
    return sum;
}

void print_control(const char* what, std::size_t vms, const fleet_counts& before, const fleet_counts& after,
                   double elapsed) {
    std::printf("| %s | %zu | %.2f | %.2f | %.1f | %.2f |\n", what, vms,
                100 * (after.cpu_s - before.cpu_s) / elapsed, (after.bytes - before.bytes) / elapsed / 1000,
                after.resident_mib, (after.store_calls - before.store_calls) / elapsed);
}

// Time from a withdrawal's acceptance at the store until every VM holds it.
std::vector<double> measure_changes(test_fleet& fleet, int changes) {
    std::vector<double> times;
    for (int i = 0; i < changes; ++i) {
        const std::string id = "bench-" + std::to_string(i);
        const auto present = fleet.status(0);
        const instant start = wall.now();
        if (fleet.ctl({"--wait-ms=0", "key", "add", "one", id, sha256_hex(id)}) < 0 || !present) {
            continue;
        }
        fleet.wait_until("the change is everywhere", [&] {
            for (std::size_t vm = 0; vm < fleet.setup().vms; ++vm) {
                const auto status = fleet.status(vm);
                if (!status || status->generation() <= present->generation()) {
                    return false;
                }
            }
            return true;
        });
        times.push_back(seconds_since(start));
        std::this_thread::sleep_for(
            milliseconds{std::max(0, static_cast<int>(1000 * (1 - seconds_since(start))))});
    }
    std::sort(times.begin(), times.end());
    return times;
}

void measure_fleet(std::size_t vms) {
    test_fleet fleet({.vms = vms, .regions = std::min<std::size_t>(3, vms), .flags = {"--worker-count=16"}});
    fleet.start_all();
    std::this_thread::sleep_for(seconds{2});
    fleet_counts before = count(fleet);
    instant start = wall.now();
    std::this_thread::sleep_for(seconds{8});
    print_control("idle", vms, before, count(fleet), seconds_since(start));
    before = count(fleet);
    start = wall.now();
    const auto times = measure_changes(fleet, 6);
    print_control("1 change/s", vms, before, count(fleet), seconds_since(start));
    if (!times.empty()) {
        std::fprintf(stderr,
                     "in force at %zu VMs, whole operator command and reading of all VMs included: p50 %.2f "
                     "s, max %.2f s\n",
                     vms, times[times.size() / 2], times.back());
    }
}

void measure_block_table() {
    std::mt19937 random(1);
    std::vector<client_prefix> blocks;
    for (int i = 0; i < 670'000; ++i) {
        const auto bits = static_cast<std::uint8_t>(16 + random() % 9);
        blocks.push_back({static_cast<std::uint32_t>(random()) & ~std::uint32_t{0} << (32U - bits), bits,
                          static_cast<std::uint16_t>(random() % 450)});
    }
    const prefix_table table = prefix_table::make(blocks);
    constexpr int look_ups = 2'000'000;
    std::atomic<std::uint64_t> found{0};
    std::vector<std::thread> threads;
    const instant start = wall.now();
    const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned i = 0; i < cores; ++i) {
        threads.emplace_back([&, i] {
            std::mt19937 own(i);
            std::uint64_t hits = 0;
            for (int n = 0; n < look_ups; ++n) {
                hits += table.find(static_cast<std::uint32_t>(own())) ? 1 : 0;
            }
            found += hits;
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const double each_us = seconds_since(start) * 1e6 / look_ups;
    const instant changed = wall.now();
    const prefix_table next = table.with_changes({blocks.begin(), blocks.begin() + 1500});
    std::printf("| block table, 670,000 blocks | %.1f MiB (at most 32) |\n",
                static_cast<double>(table.bytes()) / (1 << 20));
    std::printf("| look-up, %u threads at once | %.3f us (at most 1); %.1f M/s a core |\n", cores, each_us,
                1 / each_us);
    std::printf("| table with 1,500 blocks moved (one site of 450) | %.0f ms, readers go on; %zu bytes\n",
                1e3 * seconds_since(changed), next.bytes());
}

void measure_decision(int workspaces, int targets) {
    schema::Configuration configuration;
    configuration.add_regions()->set_name("r");
    configuration.mutable_regions(0)->add_availability_zones("z");
    auto* service = configuration.add_services();
    service->set_name("s");
    service->set_path_prefix("/s");
    service->set_slots_per_target(9);
    service->set_max_connections_per_target(330);
    for (int i = 0; i < targets; ++i) {
        auto* target = service->add_targets();
        target->set_name("t" + std::to_string(i));
        target->set_address("10.0.0.1:1");
        target->set_availability_zone("z");
    }
    for (int i = 0; i < workspaces; ++i) {
        auto* workspace = configuration.add_workspaces();
        workspace->set_name("w" + std::to_string(i));
        workspace->add_keys()->set_id("k");
        workspace->mutable_keys(0)->set_sha256(sha256_hex("key-" + std::to_string(i)));
        workspace->add_services("s");
        workspace->set_rate_per_second(1e6);
        workspace->set_burst_requests(1'000'000);
        workspace->set_home_region("r");
    }
    const auto view = config_snapshot::make(configuration).value();
    budget state = make_budget(wall.now());
    set_base_share(state, {1'000'000 * microrequests_per_request, 1'000'000 * microrequests_per_request},
                   wall.now());
    const std::vector<target_state> states(static_cast<std::size_t>(targets));
    random_engine random(1);
    constexpr int rounds = 20'000;
    std::size_t chosen = 0;
    const instant start = wall.now();
    for (int i = 0; i < rounds; ++i) {
        const workspace_config* workspace =
            view->find_workspace_by_key("key-" + std::to_string(i % workspaces));
        const service_config* found = view->find_service_by_path("/s/some/path");
        record_arrival(state, wall.now());
        if (workspace != nullptr && try_acquire(state, wall.now())) {
            chosen +=
                choose_target({*found, states, {"r", "z"}, wall.now(), {}, {}}, random).index.value_or(0);
        }
    }
    std::printf("| decision, %d workspaces, %d targets | %.2f us (at most %d) |\n", workspaces, targets,
                seconds_since(start) * 1e6 / rounds, targets > 100 ? 10 : 5);
    std::fprintf(stderr, "%zu\n", chosen);
}

// Requests per second and latencies in milliseconds over kept connections.
struct hop_result {
    double per_second = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

hop_result measure_hop(test_fleet& fleet, const std::string& address, std::size_t connections) {
    std::vector<std::thread> threads;
    std::vector<std::vector<double>> latencies(connections);
    const instant start = wall.now();
    for (std::size_t i = 0; i < connections; ++i) {
        threads.emplace_back([&, i] {
            connection_pool pool(parse_address(address).value());
            while (seconds_since(start) < 3) {
                const instant sent = wall.now();
                const auto answer = exchange(
                    pool, fleet.guard(),
                    {"GET", "/work/x", "text/plain", "", milliseconds{5000}, {{"X-Api-Key", "key-one"}}},
                    wall);
                if (answer && answer->status == 200) {
                    latencies[i].push_back(1e3 * seconds_since(sent));
                }
            }
        });
    }
    std::vector<double> all;
    for (std::size_t i = 0; i < connections; ++i) {
        threads[i].join();
        all.insert(all.end(), latencies[i].begin(), latencies[i].end());
    }
    std::sort(all.begin(), all.end());
    if (all.empty()) {
        return {};
    }
    return {static_cast<double>(all.size()) / 3, all[all.size() / 2], all[all.size() * 99 / 100]};
}

void measure_hops() {
    test_fleet fleet({.vms = 1,
                      .targets = 1,
                      .slots = 300,
                      .service_time = milliseconds{0},
                      .rate_per_second = 1e6,
                      .burst = 1'000'000,
                      .flags = {"--worker-count=96"}});
    fleet.start_all();
    std::this_thread::sleep_for(seconds{2});
    for (const std::size_t connections : {std::size_t{1}, std::size_t{64}}) {
        const hop_result direct = measure_hop(fleet, fleet.target_address(0), connections);
        const hop_result through = measure_hop(fleet, fleet.caller_address(0), connections);
        std::printf("| %zu connections | direct %.0f/s, through one VM %.0f/s, ratio %.2f; added p50 %.2f "
                    "ms, p99 %.2f ms |\n",
                    connections, direct.per_second, through.per_second,
                    through.per_second / direct.per_second, through.p50_ms - direct.p50_ms,
                    through.p99_ms - direct.p99_ms);
    }
    std::printf("| idle resident memory, default workers | %.1f MiB (at most 64) |\n",
                read_usage(fleet.vm(0).id()).resident_mib);
}

} // namespace

int main(int argc, char** argv) {
    const std::size_t largest = argc > 1 ? std::stoul(argv[1]) : 16;
    std::printf("| load | VMs | CPU of a core per VM, %% | control KB/s per VM | resident MiB per VM | store "
                "calls/s in all |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    const std::size_t smallest = argc > 2 ? std::stoul(argv[2]) : 2;
    for (std::size_t vms = smallest; vms <= largest; vms *= 2) {
        measure_fleet(vms);
        std::fflush(stdout);
    }
    std::printf("\n| what | measured (target) |\n| --- | --- |\n");
    measure_block_table();
    measure_decision(8, 48);
    measure_decision(10'000, 5'000);
    measure_hops();
    return 0;
}
