// Requests at an even rate from threads of their own, while a test does something else.
#pragma once

#include "load_caller.h"
#include "refusals.h"
#include "test_fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cassiaspan::test {

// What to send, and to which VMs in turn. Each thread tries the next VM when one cannot be reached, is not
// licensed or stops, as the page for callers asks for.
struct load_options {
    std::vector<std::size_t> vms;
    double requests_per_second = 100;
    std::size_t threads = 8;
    test_call request;
    bool try_next = true;
    // Use the VMs in the order that a look-up tells, renewed every second.
    bool follow_steer = false;
};

class steady_load {
public:
    steady_load(test_fleet& fleet_in, load_options options_in)
        : fleet(fleet_in), options(std::move(options_in)) {
        for (std::size_t i = 0; i < this->options.threads; ++i) {
            this->threads.emplace_back([this, i] { this->run(i); });
        }
    }
    ~steady_load() { this->stop(); }
    steady_load(const steady_load&) = delete;
    steady_load& operator=(const steady_load&) = delete;
    steady_load(steady_load&&) = delete;
    steady_load& operator=(steady_load&&) = delete;

    // Ends the load and returns how often each outcome came.
    std::map<std::string, std::size_t> stop() {
        this->stopping = true;
        for (std::thread& thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        return this->outcomes;
    }

private:
    void run(std::size_t index) {
        std::map<socket_address, connection_pool> pools;
        std::vector<socket_address> order;
        for (const std::size_t vm : this->options.vms) {
            order.push_back(parse_address(this->fleet.caller_address(vm)).value());
        }
        instant looked_up;
        const auto step = nanoseconds{static_cast<std::int64_t>(
            1e9 * static_cast<double>(this->options.threads) / this->options.requests_per_second)};
        instant next = this->fleet.time().now() +
                       step * static_cast<int>(index) / static_cast<int>(this->options.threads);
        for (std::size_t turn = index; !this->stopping; ++turn) {
            std::this_thread::sleep_for(next - this->fleet.time().now());
            next += step;
            if (this->options.follow_steer && this->fleet.time().now() - looked_up > seconds{1}) {
                this->look_up_again(order);
                looked_up = this->fleet.time().now();
            }
            const std::string outcome = this->send(pools, order, turn);
            const std::scoped_lock lock(this->mutex);
            ++this->outcomes[outcome];
        }
    }

    void look_up_again(std::vector<socket_address>& order) {
        for (const socket_address& vm : order) {
            auto found = standin::look_up(vm, this->fleet.guard(), this->fleet.time());
            if (!found.empty()) {
                order = std::move(found);
                return;
            }
        }
    }

    std::string send(std::map<socket_address, connection_pool>& pools,
                     const std::vector<socket_address>& order, std::size_t turn) {
        std::string outcome;
        const test_call& request = this->options.request;
        for (std::size_t tried = 0; tried < order.size(); ++tried) {
            const socket_address& vm = order[(turn + tried) % order.size()];
            auto& pool = pools.try_emplace(vm, vm).first->second;
            std::vector<http_header> headers = request.headers;
            headers.push_back({"X-Api-Key", request.key});
            const auto answer =
                exchange(pool, this->fleet.guard(),
                         {request.method, request.path, "text/plain", request.body, request.timeout, headers},
                         this->fleet.time());
            outcome = answer                                       ? outcome_of(answer)
                      : answer.error() == http_failure::connecting ? "cannot connect"
                                                                   : "no answer";
            if (!this->options.try_next ||
                (outcome != "cannot connect" && outcome != "not-licensed/not-run" &&
                 outcome != "stopping/not-run")) {
                break;
            }
        }
        return outcome;
    }

    test_fleet& fleet;
    load_options options;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::map<std::string, std::size_t> outcomes;
    std::vector<std::thread> threads;
};

} // namespace cassiaspan::test
