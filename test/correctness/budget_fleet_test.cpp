// Simulates 8 VMs that lend each other shares of one workspace's quota. Checks that the fleet stays within
// the quota while messages are lost, late or duplicated and VMs are frozen, and that callers within the rate
// are served at any VM. Two baselines without loans are run for comparison.

#include "borrowing.h"
#include "budget.h"
#include "rate_meter.h"
#include "table_test.h"

#include <algorithm>
#include <map>
#include <random>

namespace cassiaspan::test {
namespace {

constexpr std::size_t vm_count = 8;
constexpr milliseconds loan_duration{1500};
constexpr milliseconds time_step{1};

// How the VMs share the quota.
enum class sharing_method {
    loans,
    // Baseline: each VM has 1/8 of the quota and does not borrow.
    equal_split,
    // Baseline: one VM has the whole quota; the others do not borrow from it.
    one_owner,
    // Deliberate fault: the lender does not reduce its own share.
    lender_keeps_share,
    // Deliberate fault: the borrower accepts a duplicate answer as another loan.
    duplicate_answer_accepted
};

// Parameters of one simulation run.
struct fleet_row {
    std::string name;
    sharing_method method = sharing_method::loans;
    unsigned seed = 1;
    // Fraction of the requests that go to the first VM; the others go to random VMs.
    double first_vm_fraction = 0;
    // Offered load as a multiple of the quota's rate.
    double load_factor = 1;
    // Probability that a loan request or its answer is lost.
    double loss_probability = 0;
    bool freezes_vms = false;
    milliseconds max_message_delay{40};
    bool must_stay_within_quota = true;
    // Largest allowed fraction of refused requests; negative for no bound.
    double max_refused = -1;
    budget_share quota{200 * microrequests_per_request, 100 * microrequests_per_request};
};

struct borrow_answer {
    instant due_at;
    std::size_t lender;
    std::size_t borrower;
    grant granted;
    instant requested_at;
    bool is_duplicate = false;
};

struct fleet_simulation {
    const fleet_row& row;
    std::mt19937_64 random;
    std::vector<budget> budgets;
    // By borrower and lender.
    std::map<std::pair<std::size_t, std::size_t>, lender_state> lenders;
    std::vector<borrow_answer> answers;
    std::size_t frozen = vm_count;
    instant frozen_until;
    rate_meter meter;
    std::size_t sent = 0;
    std::size_t refused = 0;
    // Requests that wait for borrowed tokens, by their deadline.
    std::vector<std::pair<std::size_t, instant>> waiting;
};

double draw_uniform(fleet_simulation& simulation) {
    return std::uniform_real_distribution<double>(0, 1)(simulation.random);
}

bool is_frozen(const fleet_simulation& simulation, std::size_t vm, instant now) {
    return simulation.frozen == vm && now < simulation.frozen_until;
}

fleet_simulation make_fleet(const fleet_row& row, instant now) {
    fleet_simulation simulation{row, std::mt19937_64(row.seed), {}, {}, {}, vm_count,
                                now, rate_meter(row.quota),     0,  0,  {}};
    const auto count = static_cast<std::int64_t>(vm_count);
    for (std::size_t i = 0; i < vm_count; ++i) {
        simulation.budgets.push_back(make_budget(now));
        budget_share base{row.quota.rate / count, row.quota.cap / count};
        if (row.method == sharing_method::one_owner) {
            base = i == 0 ? row.quota : budget_share{};
        }
        set_base_share(simulation.budgets.back(), base, now);
    }
    return simulation;
}

void ask_lenders(fleet_simulation& simulation, std::size_t vm, instant now) {
    const budget_share requested = share_to_borrow(simulation.budgets[vm], simulation.row.quota);
    const bool borrows = simulation.row.method != sharing_method::equal_split &&
                         simulation.row.method != sharing_method::one_owner;
    if (!borrows || (requested.rate == 0 && requested.cap == 0)) {
        return;
    }
    const budget_share share = share_per_lender(requested, vm_count - 1);
    for (std::size_t lender = 0; lender < vm_count; ++lender) {
        lender_state& lender_record = simulation.lenders[{vm, lender}];
        if (lender == vm || !is_loan_request_due(lender_record, share, loan_duration, now)) {
            continue;
        }
        lender_record = {false, now, share};
        if (is_frozen(simulation, lender, now) ||
            draw_uniform(simulation) < simulation.row.loss_probability) {
            continue;
        }
        const budget before = simulation.budgets[lender];
        const auto granted = lend(simulation.budgets[lender], vm, share, loan_duration, now);
        if (simulation.row.method == sharing_method::lender_keeps_share) {
            simulation.budgets[lender] = before;
        }
        if (granted && draw_uniform(simulation) >= simulation.row.loss_probability) {
            const milliseconds delay{static_cast<int>(
                draw_uniform(simulation) * static_cast<double>(simulation.row.max_message_delay.count()))};
            simulation.answers.push_back({now + delay, lender, vm, *granted, now});
            if (simulation.row.method == sharing_method::duplicate_answer_accepted) {
                simulation.answers.push_back({now + delay, lender, vm, *granted, now, true});
            }
        }
    }
}

void deliver(fleet_simulation& simulation, instant now) {
    for (auto& answer : simulation.answers) {
        if (answer.due_at > now || is_frozen(simulation, answer.borrower, now)) {
            continue;
        }
        // A duplicate answer is recorded under another lender number, so that it counts as a separate loan.
        const std::uint64_t name = answer.lender + (answer.is_duplicate ? 100 : 0);
        accept_loan(simulation.budgets[answer.borrower], name, answer.granted,
                    answer.requested_at + loan_duration, now);
        answer.due_at = instant::max();
    }
    std::erase_if(simulation.answers,
                  [](const borrow_answer& answer) { return answer.due_at == instant::max(); });
}

void serve_waiting(fleet_simulation& simulation, instant now) {
    std::erase_if(simulation.waiting, [&](const auto& entry) {
        const auto& [vm, deadline] = entry;
        if (!is_frozen(simulation, vm, now) && try_acquire(simulation.budgets[vm], now)) {
            simulation.meter.note(now);
            return true;
        }
        simulation.refused += now >= deadline ? 1 : 0;
        return now >= deadline;
    });
}

void send_load(fleet_simulation& simulation, instant now) {
    const double per_step = simulation.row.load_factor * static_cast<double>(simulation.row.quota.rate) /
                            microrequests_per_request / 1000;
    const auto whole = static_cast<int>(per_step);
    const int count = whole + (draw_uniform(simulation) < per_step - whole ? 1 : 0);
    for (int i = 0; i < count; ++i) {
        auto vm = static_cast<std::size_t>(draw_uniform(simulation) * vm_count);
        vm = draw_uniform(simulation) < simulation.row.first_vm_fraction ? 0 : vm;
        if (is_frozen(simulation, vm, now)) {
            continue;
        }
        ++simulation.sent;
        record_arrival(simulation.budgets[vm], now);
        simulation.waiting.emplace_back(vm, now + milliseconds{300});
    }
}

void check_fleet(const fleet_row& row) {
    const instant start{seconds{100}};
    fleet_simulation simulation = make_fleet(row, start);
    for (instant now = start; now < start + seconds{30}; now += time_step) {
        if (row.freezes_vms && (now - start) % seconds{12} == seconds{2}) {
            simulation.frozen = static_cast<std::size_t>(draw_uniform(simulation) * vm_count);
            simulation.frozen_until = now + seconds{10};
        }
        deliver(simulation, now);
        if (now > start + seconds{1}) {
            send_load(simulation, now);
        }
        serve_waiting(simulation, now);
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            if (!is_frozen(simulation, vm, now)) {
                advance(simulation.budgets[vm], now);
                ask_lenders(simulation, vm, now);
            }
        }
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("excess " + std::to_string(simulation.meter.excess()),
                                 row.must_stay_within_quota, simulation.meter.kept());
    const double refused = static_cast<double>(simulation.refused) / static_cast<double>(simulation.sent);
    if (row.max_refused >= 0) {
        CPPUNIT_ASSERT_MESSAGE("refused " + std::to_string(refused), refused <= row.max_refused);
    }
    std::printf("  %s: refused %.4f of %zu\n", row.name.c_str(), refused, simulation.sent);
}

constexpr budget_share small_burst{200 * microrequests_per_request, 16 * microrequests_per_request};

// Rows with the load factor 0.9 stay within the rate, and with random arrivals within the burst.
const test_table<fleet_row> fleet_table(
    "budget_fleet",
    {
        {"even load", sharing_method::loans, 1, 0, 0.9, 0, false, milliseconds{40}, true, 0.001},
        {"all on one VM", sharing_method::loans, 2, 1, 0.9, 0, false, milliseconds{40}, true, 0.001},
        {"all on one VM, distant lenders", sharing_method::loans, 3, 1, 0.9, 0, false, milliseconds{110},
         true, 0.001},
        {"half on one VM", sharing_method::loans, 4, 0.5, 0.9, 0, false, milliseconds{40}, true, 0.001},
        {"three times the rate", sharing_method::loans, 5, 0.5, 3, 0, false, milliseconds{40}},
        {"three times the rate, lost messages", sharing_method::loans, 6, 0.7, 3, 0.3, false,
         milliseconds{800}},
        {"frozen VMs", sharing_method::loans, 7, 0.3, 2, 0.1, true, milliseconds{200}},
        {"frozen VMs, another seed", sharing_method::loans, 8, 0.9, 5, 0.2, true, milliseconds{1400}},
        {"small burst, slow messages", sharing_method::loans, 6, 0.7, 3, 0, false, milliseconds{1400}, true,
         -1, small_burst},
        {"small burst, frozen VMs", sharing_method::loans, 9, 0.7, 3, 0.1, true, milliseconds{1400}, true, -1,
         small_burst},
        {"baseline: equal split, skewed", sharing_method::equal_split, 2, 1, 0.9, 0, false, milliseconds{40}},
        {"baseline: one owner, callers elsewhere", sharing_method::one_owner, 2, 0, 0.9, 0, false,
         milliseconds{40}},
        {"fault: the lender keeps its share", sharing_method::lender_keeps_share, 5, 0.5, 3, 0, false,
         milliseconds{40}, false},
        {"fault: duplicate answers are accepted", sharing_method::duplicate_answer_accepted, 5, 0.7, 3, 0,
         false, milliseconds{40}, false},
    },
    check_fleet);

// Two VMs use all tokens they get while an answer to a loan request arrives 1.4 s late. If the borrower
// counts the loan duration from the answer and not from its request, it still uses the share after the lender
// has it back.
bool stays_within_quota_with_late_answer(bool expiry_from_request) {
    const budget_share quota{200 * microrequests_per_request, 10 * microrequests_per_request};
    const budget_share half{quota.rate / 2, quota.cap / 2};
    instant now{seconds{100}};
    budget lender = make_budget(now);
    budget borrower = make_budget(now);
    set_base_share(lender, half, now);
    set_base_share(borrower, half, now);
    rate_meter meter(quota);
    const instant requested_at = now;
    const auto granted = lend(lender, 1, half, loan_duration, now);
    CPPUNIT_ASSERT(granted.has_value());
    const instant answered_at = requested_at + milliseconds{1400};
    for (; now < requested_at + seconds{5}; now += time_step) {
        if (now == answered_at) {
            accept_loan(borrower, 2, *granted, (expiry_from_request ? requested_at : now) + loan_duration,
                        now);
        }
        for (budget* each : {&lender, &borrower}) {
            if (try_acquire(*each, now)) {
                meter.note(now);
            }
        }
    }
    return meter.kept();
}

void late_answer_stays_within_quota() {
    CPPUNIT_ASSERT(stays_within_quota_with_late_answer(true));
}

void expiry_from_answer_exceeds_quota() {
    CPPUNIT_ASSERT(!stays_within_quota_with_late_answer(false));
}

const test_table<scenario>
    scenarios("budget_loan",
              {{"a late answer stays within the quota", late_answer_stays_within_quota},
               {"fault: expiry counted from the answer", expiry_from_answer_exceeds_quota}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
