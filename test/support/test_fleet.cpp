#include "test_fleet.h"

#include "digest.h"
#include "platform.pb.h"

#include <cppunit/TestAssert.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace cassiaspan::test {

namespace {

constexpr int caller_port = 8080;
constexpr int admin_port = 8081;
constexpr int peer_port = 8082;
constexpr int platform_port = 8090;
constexpr int target_port = 8100;
constexpr std::size_t max_vms = 64;
// In a larger fleet only the VMs that the duty's holder hears itself are named: its overlay peers and it.
constexpr std::size_t named_at_least = 9;

// Networks of 127.0.0.0/8: what a loopback address stands for.
constexpr int vm_network = 0;
constexpr int peer_proxy_network = 64;
constexpr int store_proxy_network = 128;
constexpr int platform_host = 250;

std::string binary(const std::string& name) {
    const std::string self = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    return name == "standin" ? self + "/standin" : self + "/../" + name;
}

int next_network() {
    static int used = 0;
    constexpr int networks = 240;
    return 1 + (static_cast<int>(getpid()) + 7 * used++) % networks;
}

std::string with_port(const std::string& host, int port) {
    return host + ":" + std::to_string(port);
}

std::string read_file(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

test_fleet::test_fleet(const fleet_options& options_in) : options(options_in), network_id(next_network()) {
    CPPUNIT_ASSERT(this->options.vms <= max_vms);
    std::string pattern = std::filesystem::temp_directory_path() / "cassiaspan-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    std::ofstream(this->file("secret")) << "a secret of this fleet";
    this->vm_processes.resize(this->options.vms);
    this->target_processes.resize(this->options.targets);
    this->write_configuration();
    this->start_platform();
    this->start_proxy();
    for (std::size_t i = 0; i < this->options.targets; ++i) {
        this->start_target(i);
    }
}

test_fleet::~test_fleet() {
    this->vm_processes.clear();
    this->target_processes.clear();
    this->store_process.kill();
    this->list_process.kill();
    this->proxy.reset();
    if (std::getenv("TEST_KEEP_FILES") == nullptr) {
        std::filesystem::remove_all(this->folder);
    } else {
        std::printf("  kept %s\n", this->folder.c_str());
    }
}

std::string test_fleet::host(int network, std::size_t index) const {
    return "127." + std::to_string(this->network_id) + "." + std::to_string(index / 250) + "." +
           std::to_string(network + 1 + static_cast<int>(index % 250));
}

std::string test_fleet::region_of(std::size_t index) const {
    return "region-" + std::to_string(index % this->options.regions);
}

std::string test_fleet::zone_of(std::size_t index) const {
    return this->region_of(index) + "-" + std::to_string(index / this->options.regions % 2);
}

std::string test_fleet::caller_address(std::size_t vm) const {
    return with_port(this->host(vm_network, vm), caller_port);
}

std::string test_fleet::target_address(std::size_t target) const {
    return with_port(this->host(platform_host, 0), target_port + static_cast<int>(target));
}

void test_fleet::write_configuration() {
    schema::Configuration& configuration = this->base_configuration;
    for (std::size_t i = 0; i < this->options.regions; ++i) {
        auto* region = configuration.add_regions();
        region->set_name(this->region_of(i));
        region->add_availability_zones(this->zone_of(i));
        region->add_availability_zones(this->zone_of(i + this->options.regions));
    }
    auto* service = configuration.add_services();
    service->set_name("work");
    service->set_path_prefix("/work");
    service->set_slots_per_target(static_cast<std::uint32_t>(this->options.slots));
    service->set_max_connections_per_target(330);
    for (std::size_t i = 0; i < this->options.targets; ++i) {
        auto* target = service->add_targets();
        target->set_name("target-" + std::to_string(i));
        target->set_address(this->target_address(i));
        target->set_availability_zone(this->zone_of(i));
    }
    for (const std::string name : {"one", "two"}) {
        auto* workspace = configuration.add_workspaces();
        workspace->set_name(name);
        workspace->add_keys()->set_id("k1");
        workspace->mutable_keys(0)->set_sha256(sha256_hex("key-" + name));
        workspace->add_services("work");
        workspace->set_rate_per_second(this->options.rate_per_second);
        workspace->set_burst_requests(this->options.burst);
        workspace->set_home_region("region-0");
    }
}

void test_fleet::start_platform() {
    schema::VmList list;
    for (std::size_t i = 0; i < this->options.vms; ++i) {
        auto* vm = list.add_vms();
        vm->set_name("vm-" + std::to_string(i));
        vm->set_region(this->region_of(i));
        vm->set_availability_zone(this->zone_of(i));
        vm->set_caller_address(this->caller_address(i));
        vm->set_peer_address(with_port(this->host(peer_proxy_network, i), peer_port));
        vm->set_admin_address(with_port(this->host(vm_network, i), admin_port));
    }
    std::string json;
    static_cast<void>(google::protobuf::util::MessageToJsonString(list, &json));
    std::ofstream(this->file("vms.json")) << json;
    const std::string platform = this->host(platform_host, 0);
    this->store_process =
        process({binary("standin"), "store", with_port(platform, platform_port)}, this->file("store.log"));
    this->list_process =
        process({binary("standin"), "vms", with_port(platform, platform_port + 1), this->file("vms.json")},
                this->file("vms.log"));
    for (const std::string log : {"store.log", "vms.log"}) {
        this->wait_until(log, [&] { return read_file(this->file(log)).find("ready") != std::string::npos; });
    }
}

void test_fleet::start_proxy() {
    std::vector<standin::proxy_route> routes;
    const socket_address store{this->host(platform_host, 0), platform_port};
    for (std::size_t i = 0; i < this->options.vms; ++i) {
        routes.push_back(
            {{this->host(peer_proxy_network, i), peer_port}, {this->host(vm_network, i), peer_port}});
        routes.push_back({{this->host(store_proxy_network, i), platform_port}, store});
    }
    this->proxy = std::make_unique<standin::fault_proxy>(std::move(routes));
}

void test_fleet::start_target(std::size_t target) {
    const std::string name = "target-" + std::to_string(target);
    const std::string log = this->file(name + ".log");
    std::filesystem::remove(log);
    std::vector<std::string> words{binary("standin"),
                                   "target",
                                   this->target_address(target),
                                   name,
                                   std::to_string(this->options.slots),
                                   std::to_string(this->options.service_time.count()),
                                   this->file(name + ".runs")};
    if (!this->options.poison.empty()) {
        words.push_back(this->options.poison);
    }
    this->target_processes.at(target) = process(words, log);
    this->wait_until(log, [&] { return read_file(log).find("ready") != std::string::npos; });
}

void test_fleet::start_vm(std::size_t vm) {
    std::vector<std::string> words{
        binary("cassiaspan"),
        "--vm=vm-" + std::to_string(vm),
        "--region=" + this->region_of(vm),
        "--availability-zone=" + this->zone_of(vm),
        "--caller-address=" + this->caller_address(vm),
        "--admin-address=" + with_port(this->host(vm_network, vm), admin_port),
        "--peer-address=" + with_port(this->host(peer_proxy_network, vm), peer_port),
        "--peer-listen-address=" + with_port(this->host(vm_network, vm), peer_port),
        "--store-address=" + with_port(this->host(store_proxy_network, vm), platform_port),
        "--vm-list-address=" + with_port(this->host(platform_host, 0), platform_port + 1),
        "--peer-secret-file=" + this->file("secret")};
    words.insert(words.end(), this->options.flags.begin(), this->options.flags.end());
    this->vm_processes.at(vm) = process(words, this->file("vm-" + std::to_string(vm) + ".log"));
}

void test_fleet::start_alone(const std::string& configuration_file, const std::vector<std::string>& flags) {
    std::vector<std::string> words{binary("cassiaspan"),
                                   "--region=" + this->region_of(0),
                                   "--availability-zone=" + this->zone_of(0),
                                   "--caller-address=" + this->caller_address(0),
                                   "--admin-address=" + with_port(this->host(vm_network, 0), admin_port),
                                   "--standalone=" + configuration_file};
    words.insert(words.end(), flags.begin(), flags.end());
    this->vm_processes.at(0) = process(words, this->file("vm-0.log"));
}

void test_fleet::start_all() {
    this->start_all_with([](schema::Configuration& /*configuration*/) {});
}

void test_fleet::start_all_with(const std::function<void(schema::Configuration&)>& edit) {
    edit(this->base_configuration);
    for (std::size_t i = 0; i < this->options.vms; ++i) {
        this->start_vm(i);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(this->ctl_output(), 0, this->apply(this->base_configuration));
    this->wait_until(
        "all VMs are members",
        [&] {
            for (std::size_t i = 0; i < this->options.vms; ++i) {
                const auto seen = this->status(i);
                if (!seen || !seen->licensed() ||
                    seen->members() < std::min(this->options.vms, named_at_least) ||
                    seen->unsettled_lists() != 0) {
                    return false;
                }
            }
            return true;
        },
        milliseconds{60'000});
}

int test_fleet::ctl_apart(const std::vector<std::string>& words, const std::string& tag,
                          milliseconds timeout) {
    const std::string platform = this->host(platform_host, 0);
    std::vector<std::string> all{binary("cassiactl"), "--store-address=" + with_port(platform, platform_port),
                                 "--vm-list-address=" + with_port(platform, platform_port + 1)};
    all.insert(all.end(), words.begin(), words.end());
    process command(all, this->file(tag));
    return command.wait(timeout).value_or(-1);
}

int test_fleet::ctl(const std::vector<std::string>& words, milliseconds timeout) {
    std::filesystem::remove(this->file("ctl.log"));
    const int code = this->ctl_apart(words, "ctl.log", timeout);
    this->last_ctl_output = read_file(this->file("ctl.log"));
    return code;
}

int test_fleet::apply(const schema::Configuration& configuration) {
    std::string json;
    static_cast<void>(google::protobuf::util::MessageToJsonString(configuration, &json));
    std::ofstream(this->file("configuration.json")) << json;
    return this->ctl({"apply", this->file("configuration.json")});
}

tl::expected<http_answer, http_failure> test_fleet::call(std::size_t vm, const test_call& request) {
    connection_pool pool(parse_address(this->caller_address(vm)).value());
    std::vector<http_header> headers = request.headers;
    if (!request.key.empty()) {
        headers.push_back({"X-Api-Key", request.key});
    }
    return exchange(pool, this->dog,
                    {request.method, request.path, "text/plain", request.body, request.timeout, headers},
                    this->wall);
}

std::optional<schema::Status> test_fleet::status(std::size_t vm) {
    connection_pool pool({this->host(vm_network, vm), admin_port});
    const auto answer =
        exchange(pool, this->dog, {"GET", "/statusz", "text/plain", "", milliseconds{2000}, {}}, this->wall);
    schema::Status status;
    if (!answer || !google::protobuf::util::JsonStringToMessage(answer->body, &status).ok()) {
        return std::nullopt;
    }
    return status;
}

std::vector<target_run> test_fleet::runs() const {
    std::vector<target_run> runs;
    for (std::size_t i = 0; i < this->options.targets; ++i) {
        std::ifstream file(this->file("target-" + std::to_string(i) + ".runs"));
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            std::int64_t time = 0;
            target_run run;
            std::string path;
            words >> time >> run.target >> run.workspace >> run.method >> path >> run.tag >> run.body_digest;
            run.time = instant{nanoseconds{time}};
            runs.push_back(std::move(run));
        }
    }
    return runs;
}

void test_fleet::get(const std::string& address, const std::string& path) {
    connection_pool pool(parse_address(address).value());
    const auto answer =
        exchange(pool, this->dog, {"GET", path, "text/plain", "", milliseconds{5000}, {}}, this->wall);
    CPPUNIT_ASSERT_MESSAGE(address + path, answer && answer->status == 200);
}

void test_fleet::set_link(std::size_t from, std::size_t to, const standin::link_fault& fault) {
    this->proxy->set_fault(peer_port, this->host(peer_proxy_network, to), this->host(vm_network, from),
                           fault);
}

void test_fleet::cut_vm(std::size_t vm, bool cut) {
    standin::link_fault fault;
    fault.cut = cut;
    for (std::size_t other = 0; other < this->options.vms; ++other) {
        this->set_link(vm, other, fault);
        this->set_link(other, vm, fault);
    }
}

void test_fleet::set_store_link(std::size_t vm, const standin::link_fault& fault) {
    this->proxy->set_fault(platform_port, this->host(store_proxy_network, vm), "", fault);
}

void test_fleet::control_store(const std::string& query) {
    this->get(with_port(this->host(platform_host, 0), platform_port), "/control?" + query);
}

void test_fleet::control_target(std::size_t target, const std::string& mode) {
    this->get(this->target_address(target), "/control?mode=" + mode);
}

void test_fleet::remove_from_list(std::size_t vm) {
    this->get(with_port(this->host(platform_host, 0), platform_port + 1),
              "/control/remove?vm=vm-" + std::to_string(vm));
}

void test_fleet::wait_until(const std::string& what, const std::function<bool()>& condition,
                            milliseconds timeout) {
    const instant deadline = this->wall.now() + timeout;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("waited in vain: " + what, this->wall.now() < deadline);
        std::this_thread::sleep_for(milliseconds{20});
    }
}

} // namespace cassiaspan::test
