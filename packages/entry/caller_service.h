// Serves callers: look-ups of VMs and requests to services.
//
// A request goes identify -> admit -> settle idempotency -> choose target -> forward -> answer.
#pragma once

#include "budget_book.h"
#include "caller_connection.h"
#include "forwarder.h"
#include "node_state.h"
#include "quarantine_board.h"
#include "record_home.h"
#include "refusal.h"
#include "request_head.h"
#include "service_metrics.h"
#include "settings.pb.h"
#include "target_registry.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace cassiaspan {

// Everything the service works with.
struct caller_service_parts {
    const schema::Settings& settings;
    node_state& node;
    budget_book& budgets;
    target_registry& targets;
    record_home& records;
    quarantine_board& quarantines;
    service_metrics& metrics;
    watchdog& guard;
    const clock& time;
};

// May be used from any thread.
class caller_service {
public:
    caller_service(caller_service_parts parts_in, std::uint64_t seed);

    // Answers one request and returns its status code.
    int serve(mg_connection* connection, const mg_request_info& info, http_server& server);
    // From now on new requests are refused as not run: the VM is about to stop.
    void refuse_new() { this->refusing = true; }
    // Requests being served.
    [[nodiscard]] std::size_t in_flight() const { return this->active.load(); }
    // Requests served so far.
    [[nodiscard]] std::uint64_t served() const { return this->finished.load(); }

private:
    struct request_state;
    using pass_result = tl::expected<void, refusal>;

    int serve_steer(const mg_request_info& info, caller_connection& caller);
    int serve_request(const mg_request_info& info, caller_connection& caller);
    [[nodiscard]] pass_result identify(request_state& request, const mg_request_info& info);
    [[nodiscard]] pass_result read_prefix(request_state& request);
    [[nodiscard]] pass_result admit(request_state& request);
    [[nodiscard]] pass_result settle_idempotency(request_state& request);
    [[nodiscard]] pass_result choose_target(request_state& request);
    [[nodiscard]] pass_result forward(request_state& request);
    [[nodiscard]] pass_result check_before_dispatch(request_state& request);
    [[nodiscard]] pass_result forward_once(request_state& request);
    [[nodiscard]] refusal judge_failure(request_state& request, const attempt_result& result);
    [[nodiscard]] bool may_retry(const request_state& request, const attempt_result& result);
    [[nodiscard]] attempt_result dispatch(request_state& request);
    [[nodiscard]] bool is_still_allowed(const request_state& request);
    void finish(request_state& request, int status, const std::optional<refusal>& refused);
    void settle_record(request_state& request, const attempt_result& result);
    [[nodiscard]] int replay(request_state& request);
    [[nodiscard]] std::string next_request_id();
    [[nodiscard]] bool take_retry();

    caller_service_parts parts;
    std::mutex mutex;
    random_engine random;
    // Reserve of retries for quiet times, which a VM that has just started has too.
    static constexpr double max_retry_allowance = 10;
    // Retries allowed at the moment; each finished request earns a part of one.
    double retry_allowance = max_retry_allowance;
    std::atomic<bool> refusing{false};
    std::atomic<std::size_t> active{0};
    std::atomic<std::uint64_t> finished{0};
};

} // namespace cassiaspan
