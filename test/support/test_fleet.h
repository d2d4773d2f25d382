// A fleet of real processes: store, list of VMs, targets, VMs, with a fault proxy on every link between VMs
// and to the store. Everything listens on loopback addresses of its own, so that several tests may run at a
// time.
#pragma once

#include "caller.pb.h"
#include "config.pb.h"
#include "fault_proxy.h"
#include "http_client.h"
#include "process.h"
#include "watchdog.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassiaspan::test {

// What a fleet is made of.
struct fleet_options {
    std::size_t vms = 3;
    std::size_t regions = 1;
    // Targets of the service "work"; half of them in each availability zone.
    std::size_t targets = 2;
    std::size_t slots = 32;
    milliseconds service_time{1};
    std::string poison;
    double rate_per_second = 1000;
    std::uint32_t burst = 1000;
    // Further flags of every VM.
    std::vector<std::string> flags;
};

// One run of a target, as the target wrote it down.
struct target_run {
    instant time;
    std::string target;
    std::string workspace;
    std::string method;
    std::string tag;
    std::string body_digest;
};

// A request of a test.
struct test_call {
    std::string method = "GET";
    std::string path = "/work/x";
    std::string key = "key-one";
    std::string body;
    std::vector<http_header> headers;
    milliseconds timeout{5000};
};

class test_fleet {
public:
    explicit test_fleet(const fleet_options& options_in);
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;
    test_fleet(test_fleet&&) = delete;
    test_fleet& operator=(test_fleet&&) = delete;

    // Starts all VMs and waits until every one of them is licensed and named as a member.
    void start_all();
    // The same, with an edited configuration.
    void start_all_with(const std::function<void(schema::Configuration&)>& edit);
    void start_vm(std::size_t vm);
    // Starts the first VM alone, with a configuration from a file.
    void start_alone(const std::string& configuration_file, const std::vector<std::string>& flags);
    void start_target(std::size_t target);
    [[nodiscard]] process& vm(std::size_t index) { return this->vm_processes.at(index); }
    [[nodiscard]] process& target(std::size_t index) { return this->target_processes.at(index); }

    // Runs cassiactl and returns its exit code; its output is kept for `ctl_output`.
    int ctl(const std::vector<std::string>& words, milliseconds timeout = milliseconds{20'000});
    // The same for commands that run at the same time; `tag` names the output's file.
    int ctl_apart(const std::vector<std::string>& words, const std::string& tag,
                  milliseconds timeout = milliseconds{20'000});
    [[nodiscard]] const std::string& ctl_output() const { return this->last_ctl_output; }
    // Puts a configuration in force by way of cassiactl.
    int apply(const schema::Configuration& configuration);
    [[nodiscard]] schema::Configuration configuration() const { return this->base_configuration; }

    // Calls a VM on a fresh connection.
    [[nodiscard]] tl::expected<http_answer, http_failure> call(std::size_t vm, const test_call& request);
    [[nodiscard]] std::optional<schema::Status> status(std::size_t vm);
    [[nodiscard]] std::vector<target_run> runs() const;
    [[nodiscard]] std::string caller_address(std::size_t vm) const;
    [[nodiscard]] std::string target_address(std::size_t target) const;

    // Faults. `cut_vm` cuts a VM from all peers in both directions.
    void set_link(std::size_t from, std::size_t to, const standin::link_fault& fault);
    void cut_vm(std::size_t vm, bool cut);
    void set_store_link(std::size_t vm, const standin::link_fault& fault);
    void control_store(const std::string& query);
    void control_target(std::size_t target, const std::string& mode);
    void remove_from_list(std::size_t vm);

    // Waits until the condition holds; fails the test after the time-out.
    void wait_until(const std::string& what, const std::function<bool()>& condition,
                    milliseconds timeout = milliseconds{20'000});
    [[nodiscard]] const fleet_options& setup() const { return this->options; }
    [[nodiscard]] watchdog& guard() { return this->dog; }
    [[nodiscard]] const clock& time() const { return this->wall; }
    [[nodiscard]] std::string file(const std::string& name) const { return this->folder + "/" + name; }

private:
    [[nodiscard]] std::string host(int network, std::size_t index) const;
    void write_configuration();
    void start_platform();
    void start_proxy();
    [[nodiscard]] std::string region_of(std::size_t index) const;
    [[nodiscard]] std::string zone_of(std::size_t index) const;
    void get(const std::string& address, const std::string& path);

    fleet_options options;
    std::string folder;
    int network_id;
    boot_clock wall;
    watchdog dog{wall};
    schema::Configuration base_configuration;
    std::unique_ptr<standin::fault_proxy> proxy;
    process store_process;
    process list_process;
    std::vector<process> vm_processes;
    std::vector<process> target_processes;
    std::string last_ctl_output;
};

} // namespace cassiaspan::test
