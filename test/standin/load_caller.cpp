#include "load_caller.h"

#include "caller.pb.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <iomanip>
#include <memory>
#include <sstream>
#include <thread>

namespace cassiaspan::standin {

namespace {

constexpr milliseconds call_timeout{20'000};

// One thread's view of the VMs.
struct caller {
    const load_plan& plan;
    const clock& time;
    watchdog& guard;
    std::vector<socket_address> order;
    instant order_expires;
    std::map<socket_address, std::unique_ptr<connection_pool>> pools;
    load_result result;
};

connection_pool& pool_of(caller& self, const socket_address& vm) {
    auto& pool = self.pools[vm];
    if (!pool) {
        pool = std::make_unique<connection_pool>(vm);
    }
    return *pool;
}

void refresh_order(caller& self) {
    if (!self.order.empty() && self.time.now() < self.order_expires) {
        return;
    }
    std::vector<socket_address> known = self.order;
    known.push_back(self.plan.first_vm);
    for (const socket_address& vm : known) {
        auto order = look_up(vm, self.guard, self.time);
        if (!order.empty()) {
            self.order = std::move(order);
            self.order_expires = self.time.now() + milliseconds{1000};
            return;
        }
    }
    self.order = {self.plan.first_vm};
}

std::string outcome_of(const tl::expected<http_answer, http_failure>& answer) {
    if (!answer) {
        return answer.error() == http_failure::connecting ? "cannot connect" : "no answer";
    }
    schema::Refusal refusal;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (answer->status >= 400 &&
        google::protobuf::util::JsonStringToMessage(answer->body, &refusal, options).ok()) {
        return refusal.reason() + " (" + refusal.run() + ")";
    }
    return std::to_string(answer->status);
}

void send_one(caller& self) {
    const instant started = self.time.now();
    std::string outcome;
    refresh_order(self);
    const std::vector<socket_address> order = self.order;
    for (const socket_address& vm : order) {
        auto answer = exchange(pool_of(self, vm), self.guard,
                               {self.plan.method,
                                self.plan.path,
                                "text/plain",
                                "",
                                call_timeout,
                                {{"X-Api-Key", self.plan.key}}},
                               self.time);
        outcome = outcome_of(answer);
        const bool next = outcome == "cannot connect" || outcome == "not-licensed (not-run)";
        if (!next) {
            break;
        }
        self.order_expires = self.time.now();
    }
    ++self.result.outcomes[outcome];
    self.result.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(self.time.now() - started).count());
}

} // namespace

std::vector<socket_address> look_up(const socket_address& vm, watchdog& guard, const clock& time) {
    connection_pool pool(vm);
    const auto answer =
        exchange(pool, guard, {"GET", "/v1/steer", "text/plain", "", milliseconds{2000}, {}}, time);
    schema::SteerAnswer steer;
    std::vector<socket_address> order;
    if (answer && answer->status == 200 &&
        google::protobuf::util::JsonStringToMessage(answer->body, &steer).ok()) {
        for (const auto& row : steer.vms()) {
            if (const auto address = parse_address(row.address())) {
                order.push_back(*address);
            }
        }
    }
    return order;
}

load_result run_load(const load_plan& plan, const clock& time) {
    watchdog guard(time);
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<std::thread> threads;
    const instant started = time.now();
    const nanoseconds step{
        static_cast<std::int64_t>(1e9 * static_cast<double>(plan.threads) / plan.requests_per_second)};
    for (std::size_t i = 0; i < plan.threads; ++i) {
        callers.push_back(std::make_unique<caller>(caller{plan, time, guard, {}, {}, {}, {}}));
        threads.emplace_back([&, i, self = callers.back().get()] {
            instant next =
                started + step * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(plan.threads);
            for (; next < started + plan.duration; next += step) {
                if (next > time.now()) {
                    std::this_thread::sleep_for(next - time.now());
                }
                send_one(*self);
            }
        });
    }
    load_result sum;
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        for (const auto& [outcome, count] : callers[i]->result.outcomes) {
            sum.outcomes[outcome] += count;
        }
        sum.latencies_ms.insert(sum.latencies_ms.end(), callers[i]->result.latencies_ms.begin(),
                                callers[i]->result.latencies_ms.end());
    }
    return sum;
}

std::string render(load_result result) {
    std::sort(result.latencies_ms.begin(), result.latencies_ms.end());
    std::ostringstream text;
    const auto quantile = [&](double part) {
        const auto index = static_cast<std::size_t>(part * static_cast<double>(result.latencies_ms.size()));
        return result.latencies_ms.empty()
                   ? 0
                   : result.latencies_ms[std::min(index, result.latencies_ms.size() - 1)];
    };
    text << "requests " << result.latencies_ms.size() << std::fixed << std::setprecision(2) << "  p50 "
         << quantile(0.5) << " ms  p99 " << quantile(0.99) << " ms  max " << quantile(1) << " ms";
    for (const auto& [outcome, count] : result.outcomes) {
        text << "\n  " << outcome << ": " << count;
    }
    return text.str();
}

} // namespace cassiaspan::standin
