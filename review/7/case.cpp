// After all VMs were killed, none reads a configuration of the largest size over a link of 10 Mbit/s.

#include "case.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace cassiaspan;
using namespace cassiaspan::review;
using cassiaspan::test::node_harness;
using cassiaspan::test::test_vm;

namespace {

constexpr int vm_count = 3;
// value-bytes of the store in the platform's settings.
constexpr std::size_t value_bytes = 1'048'576;
constexpr std::size_t configuration_bytes = 1'040'000;
// recovery-s of the sheets, and the share that must be served after it.
constexpr milliseconds recovery_time{15'000};
constexpr double min_served_share = 0.25;
constexpr milliseconds judged_time{15'000};
constexpr std::size_t max_header_bytes = 16'384;

// One request of a caller, and when it was sent.
struct sent_request {
    std::chrono::steady_clock::time_point sent_at;
    unsigned status = 0;
};

class recovery_case {
public:
    explicit recovery_case(const std::string& folder) : record(folder + "/record.txt") {}

    int run() {
        this->harness.set_limits(
            R"({"cpu-share":0.5,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":10,"disk-mb":0})");
        this->harness.platform().put("op/config", this->make_document(2, 0));
        const std::vector<std::string> zones{"north-a", "north-b", "south-a"};
        for (int i = 0; i < vm_count; ++i) {
            const socket_address store = this->harness.platform().store_address();
            this->links.push_back(std::make_unique<machine_link>(store.host, store));
            this->vms.push_back(&this->harness.start_vm(this->links.back()->address(), true, zones[i]));
        }
        std::this_thread::sleep_for(seconds(2));
        std::thread callers([this] { this->call_steadily(); });
        std::this_thread::sleep_for(seconds(4));
        const std::string grown = this->make_document(3, configuration_bytes);
        this->harness.platform().put("op/config", grown);
        this->record.write("the configuration has grown to " + std::to_string(grown.size()) + " of " +
                           std::to_string(value_bytes) + " bytes");
        std::this_thread::sleep_for(seconds(6));
        const auto killed_at = std::chrono::steady_clock::now();
        if (has_trouble()) {
            this->record.write("all processes are killed");
            const std::lock_guard lock(this->mutex);
            for (test_vm* vm : this->vms) {
                vm->node_process.kill();
            }
            std::this_thread::sleep_for(seconds(1));
            for (test_vm* vm : this->vms) {
                this->harness.start_vm_again(*vm);
            }
            this->record.write("all processes were started again");
        }
        const auto back_at = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(recovery_time + judged_time);
        this->is_over = true;
        callers.join();
        for (int i = 0; i < vm_count; ++i) {
            this->record.write("vm " + std::to_string(i) + " is " +
                               (this->harness.is_ready(*this->vms[i]) ? "ready" : "not ready") +
                               "; its log:");
            std::istringstream log(this->harness.read_log(*this->vms[i]));
            std::vector<std::string> lines;
            for (std::string line; std::getline(log, line);) {
                lines.push_back(line);
            }
            for (std::size_t k = lines.size() > 3 ? lines.size() - 3 : 0; k < lines.size(); ++k) {
                this->record.write("  " + lines[k]);
            }
        }
        return this->judge(killed_at, back_at);
    }

private:
    // Returns a configuration that is filled up with routes to about `bytes` bytes.
    std::string make_document(unsigned version, std::size_t bytes) {
        json routes = json::array({make_route("/get/", "idempotent", 2000)});
        std::size_t size = make_configuration(version, routes, max_header_bytes).size();
        const std::size_t route_size = make_route("/grown/00000/", "idempotent", 2000).dump().size() + 1;
        for (int i = 10'000; size + route_size < bytes; ++i, size += route_size) {
            routes.push_back(make_route("/grown/" + std::to_string(i) + "/", "idempotent", 2000));
        }
        return make_configuration(version, routes, max_header_bytes);
    }

    // Sends a request every 100 ms, to the VMs in turn.
    void call_steadily() {
        for (int count = 0; !this->is_over; ++count) {
            sent_request sent;
            sent.sent_at = std::chrono::steady_clock::now();
            test_vm& vm = *this->vms[static_cast<std::size_t>(count % vm_count)];
            sent.status = this->harness.send_request(vm, {.target = "/get/sheet"}).status;
            this->record.write(
                "request " + std::to_string(count) + " to vm " + std::to_string(count % vm_count) + ": " +
                (sent.status == 0 ? "no connection or no answer" : std::to_string(sent.status)));
            this->requests.push_back(sent);
            std::this_thread::sleep_until(sent.sent_at + milliseconds(100));
        }
    }

    // Returns the share of the requests sent in this time that were served.
    double served_share(std::chrono::steady_clock::time_point begin,
                        std::chrono::steady_clock::time_point end) const {
        int sent = 0;
        int served = 0;
        for (const sent_request& request : this->requests) {
            if (request.sent_at >= begin && request.sent_at < end) {
                ++sent;
                served += request.status == 200 ? 1 : 0;
            }
        }
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }

    int judge(std::chrono::steady_clock::time_point killed_at,
              std::chrono::steady_clock::time_point back_at) {
        const double before = this->served_share({}, killed_at);
        const double after =
            this->served_share(back_at + recovery_time, back_at + recovery_time + judged_time);
        const bool is_broken = before >= min_served_share && after < min_served_share;
        this->record.conclude("RECOVER: served before: " + std::to_string(before) +
                              ", of those sent later than 15 s after the machines were back: " +
                              std::to_string(after) + ": " + (is_broken ? "broken" : "held"));
        return is_broken ? rule_broken : rule_held;
    }

    case_record record;
    node_harness harness;
    std::vector<std::unique_ptr<machine_link>> links;
    std::vector<test_vm*> vms;
    std::vector<sent_request> requests;
    std::mutex mutex;
    std::atomic<bool> is_over{false};
};

} // namespace

int main(int /*argc*/, char** argv) {
    return run_case([&] { return recovery_case(argv[1]).run(); });
}
