// A request whose header is within max-header-bytes ends the process of the VM that reads it.

#include "case.h"

#include <atomic>
#include <set>
#include <thread>
#include <vector>

using namespace cassiaspan;
using namespace cassiaspan::review;
using cassiaspan::test::node_harness;
using cassiaspan::test::test_vm;
using cassiaspan::test::wait_until;

namespace {

constexpr std::size_t max_header_bytes = 131'072;
// Together with the rest of the header well below max_header_bytes.
constexpr std::size_t cookie_bytes = 66'000;
constexpr int vm_count = 3;
constexpr int rounds = 3;
constexpr int callers_per_vm = 6;
// Bounds of the rules.
constexpr int max_lost_requests = 3;
constexpr int max_ends_per_vm = 2;
constexpr int min_vms_of_fault = 2;

// A VM, and what its callers have seen.
struct observed_vm {
    test_vm* vm = nullptr;
    int ends = 0;
    // Ids of requests on kept connections whose connection ended without an answer.
    std::vector<std::string> unanswered;
};

class header_case {
public:
    explicit header_case(const std::string& folder) : record(folder + "/record.txt") {}

    int run() {
        this->harness.set_limits(
            R"({"cpu-share":0.5,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000,"disk-mb":0})");
        for (int i = 3; i <= 8; ++i) {
            this->harness.platform().add_target("i-" + std::to_string(i), "search", "north-a");
        }
        this->harness.platform().set_work_time("/post/", milliseconds(800));
        this->harness.platform().put(
            "op/config", make_configuration(2,
                                            json::array({make_route("/get/", "idempotent", 4000, "catalogue"),
                                                         make_route("/post/", "non_idempotent", 4000)}),
                                            max_header_bytes, {"search", "catalogue"}));
        const auto put = [this](const std::string& key, const std::string& value) {
            this->harness.platform().put(key, value);
        };
        const plain_target catalogue(put, this->harness.platform().store_address().host, "i-catalogue",
                                     "catalogue");
        const std::vector<std::string> zones{"north-a", "north-b", "south-a"};
        for (int i = 0; i < vm_count; ++i) {
            this->vms[i].vm = &this->harness.start_vm({}, true, zones[i]);
        }
        std::this_thread::sleep_for(seconds(2));
        std::vector<std::thread> threads;
        for (int i = 0; i < vm_count; ++i) {
            threads.emplace_back([this, i] { this->watch_process(i); });
            for (int caller = 0; caller < callers_per_vm; ++caller) {
                threads.emplace_back([this, i, caller] { this->call_steadily(i, caller); });
            }
        }
        std::this_thread::sleep_for(seconds(3));
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < vm_count; ++i) {
                this->send_long_header(i, round);
                std::this_thread::sleep_for(milliseconds(1500));
            }
        }
        std::this_thread::sleep_for(seconds(3));
        this->is_over = true;
        for (std::thread& thread : threads) {
            thread.join();
        }
        return this->judge();
    }

private:
    // Restarts the VM's process after it has ended by itself, as the platform does.
    void watch_process(int index) {
        observed_vm& observed = this->vms[index];
        while (!this->is_over) {
            if (!observed.vm->node_process.wait(milliseconds(20)) && observed.vm->node_process.is_running()) {
                continue;
            }
            ++observed.ends;
            this->record.write("vm " + std::to_string(index) + " ended by itself, time " +
                               std::to_string(observed.ends));
            std::this_thread::sleep_for(milliseconds(300));
            const std::lock_guard lock(this->start_mutex);
            this->harness.start_vm_again(*observed.vm);
        }
    }

    // Sends one request after the other on a connection that it keeps.
    void call_steadily(int index, int caller) {
        int sent = 0;
        while (!this->is_over) {
            try {
                kept_connection connection(node_harness::caller_address_of(*this->vms[index].vm));
                for (int on_connection = 0; !this->is_over; ++on_connection) {
                    const std::string id = "vm" + std::to_string(index) + "-caller" + std::to_string(caller) +
                                           "-" + std::to_string(++sent);
                    auto request = make_request(http::verb::post, "/post/claim", id, 6000);
                    request.body() = "claim";
                    request.prepare_payload();
                    const exchange_result result = connection.send(request, 8000);
                    this->record.write(id + " request " + std::to_string(on_connection + 1) +
                                       " on its connection: " +
                                       (result.status != 0 ? std::to_string(result.status) : result.error));
                    if (result.status == 0 && on_connection > 0) {
                        const std::lock_guard lock(this->mutex);
                        this->vms[index].unanswered.push_back(id);
                    }
                    if (result.status == 0 || !connection.may_be_used_again()) {
                        break;
                    }
                }
            } catch (const boost::system::system_error&) {
                // The VM is being restarted.
                std::this_thread::sleep_for(milliseconds(100));
            }
        }
    }

    // Sends one idempotent request whose header is within the limit. Without the disruption the same bytes
    // come in two fields.
    void send_long_header(int index, int round) {
        const std::string id = "long-header-" + std::to_string(round) + "-vm" + std::to_string(index);
        const std::string half(cookie_bytes / 2, 'c');
        // Written by hand: the library of this caller has the same bound for one field.
        const std::string request =
            "GET /get/toy HTTP/1.1\r\nHost: app.example\r\nCassiaspan-Request-Id: " + id +
            "\r\nCassiaspan-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n" +
            (has_trouble() ? "Cookie: " + half + half + "\r\n"
                           : "X-Cookie-1: " + half + "\r\nX-Cookie-2: " + half + "\r\n") +
            "\r\n";
        exchange_result result;
        try {
            kept_connection connection(node_harness::caller_address_of(*this->vms[index].vm));
            result = connection.send(request, 5000);
        } catch (const boost::system::system_error& error) {
            result.error = error.what();
        }
        this->record.write(id + " with a header of about " + std::to_string(cookie_bytes + 200) + " of " +
                           std::to_string(max_header_bytes) +
                           " bytes: " + (result.status != 0 ? std::to_string(result.status) : result.error));
    }

    // Returns the ids of the requests that a target has executed.
    std::set<std::string> executed_ids() {
        std::set<std::string> ids;
        for (int i = 1; i <= 8; ++i) {
            for (const auto& request : this->harness.platform().received_requests("i-" + std::to_string(i))) {
                ids.insert(request.headers.at("Cassiaspan-Request-Id"));
            }
        }
        return ids;
    }

    int judge() {
        const std::set<std::string> executed = this->executed_ids();
        int total_lost = 0;
        int faulty_vms = 0;
        for (int i = 0; i < vm_count; ++i) {
            int lost = 0;
            for (const std::string& id : this->vms[i].unanswered) {
                if (executed.count(id) != 0) {
                    ++lost;
                    this->record.write(id + " was passed on to a target, which ran it; its connection ended "
                                            "without an answer");
                }
            }
            this->record.write("vm " + std::to_string(i) + ": ended by itself " +
                               std::to_string(this->vms[i].ends) +
                               " times, requests lost: " + std::to_string(lost));
            total_lost += lost;
            faulty_vms += this->vms[i].ends > max_ends_per_vm ? 1 : 0;
        }
        const bool lost_broken = total_lost > max_lost_requests;
        const bool fault = faulty_vms >= min_vms_of_fault;
        this->record.conclude("LOST: " + std::to_string(total_lost) +
                              " requests of kept connections that a "
                              "target ran ended without an answer, allowed " +
                              std::to_string(max_lost_requests) + ": " + (lost_broken ? "broken" : "held"));
        this->record.conclude("Fault: " + std::to_string(faulty_vms) +
                              " VMs ended by themselves three times: " + (fault ? "fault" : "none"));
        return lost_broken ? rule_broken : rule_held;
    }

    case_record record;
    node_harness harness;
    observed_vm vms[vm_count];
    std::atomic<bool> is_over{false};
    std::mutex mutex;
    std::mutex start_mutex;
};

} // namespace

int main(int /*argc*/, char** argv) {
    return run_case([&] { return header_case(argv[1]).run(); });
}
