// The escrow of budgets among 8 VMs: whatever is lost, late, doubled or frozen, the fleet keeps to the
// contract, and a caller within its rate is served wherever it calls. Two baselines stand beside it.

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
constexpr milliseconds loan_time{1500};
constexpr milliseconds step{1};

// How budgets are shared.
enum class sharing {
    loans,
    // Each VM has its eighth and no more.
    equal_split,
    // One VM has everything; the others cannot reach it while it is frozen.
    one_owner,
    // Broken on purpose: the lender keeps what it lends.
    lender_keeps_share,
    // Broken on purpose: a doubled answer is taken in twice.
    doubled_answer_counts
};

// One run of the fleet.
struct fleet_row {
    std::string name;
    sharing way = sharing::loans;
    unsigned seed = 1;
    // Part of the load that comes to the first VM.
    double skew = 0;
    double load = 1;
    double loss = 0;
    bool freeze = false;
    milliseconds slowest_message{40};
    bool must_keep_contract = true;
    // Largest share of refused requests, below zero for no bound.
    double max_refused = -1;
    budget_share quota{200 * microrequests_per_request, 100 * microrequests_per_request};
};

struct borrow_answer {
    instant due;
    std::size_t lender;
    std::size_t borrower;
    grant granted;
    instant asked;
    bool doubled = false;
};

struct fleet {
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

double draw(fleet& self) {
    return std::uniform_real_distribution<double>(0, 1)(self.random);
}

bool is_frozen(const fleet& self, std::size_t vm, instant now) {
    return self.frozen == vm && now < self.frozen_until;
}

fleet make_fleet(const fleet_row& row, instant now) {
    fleet self{row, std::mt19937_64(row.seed), {}, {}, {}, vm_count, now, rate_meter(row.quota), 0, 0, {}};
    const auto count = static_cast<std::int64_t>(vm_count);
    for (std::size_t i = 0; i < vm_count; ++i) {
        self.budgets.push_back(make_budget(now));
        budget_share base{row.quota.rate / count, row.quota.cap / count};
        if (row.way == sharing::one_owner) {
            base = i == 0 ? row.quota : budget_share{};
        }
        set_base_share(self.budgets.back(), base, now);
    }
    return self;
}

void ask_lenders(fleet& self, std::size_t vm, instant now) {
    const budget_share wanted = share_to_borrow(self.budgets[vm], self.row.quota);
    const bool borrows = self.row.way != sharing::equal_split && self.row.way != sharing::one_owner;
    if (!borrows || (wanted.rate == 0 && wanted.cap == 0)) {
        return;
    }
    const budget_share part = share_per_lender(wanted, vm_count - 1);
    for (std::size_t lender = 0; lender < vm_count; ++lender) {
        lender_state& known = self.lenders[{vm, lender}];
        if (lender == vm || !is_loan_request_due(known, part, loan_time, now)) {
            continue;
        }
        known = {false, now, part};
        if (is_frozen(self, lender, now) || draw(self) < self.row.loss) {
            continue;
        }
        const budget before = self.budgets[lender];
        const auto granted = lend(self.budgets[lender], vm, part, loan_time, now);
        if (self.row.way == sharing::lender_keeps_share) {
            self.budgets[lender] = before;
        }
        if (granted && draw(self) >= self.row.loss) {
            const milliseconds late{
                static_cast<int>(draw(self) * static_cast<double>(self.row.slowest_message.count()))};
            self.answers.push_back({now + late, lender, vm, *granted, now});
            if (self.row.way == sharing::doubled_answer_counts) {
                self.answers.push_back({now + late, lender, vm, *granted, now, true});
            }
        }
    }
}

void deliver(fleet& self, instant now) {
    for (auto& answer : self.answers) {
        if (answer.due > now || is_frozen(self, answer.borrower, now)) {
            continue;
        }
        // Doubled answers come under another name, as if each were a loan of its own.
        const std::uint64_t name = answer.lender + (answer.doubled ? 100 : 0);
        accept_loan(self.budgets[answer.borrower], name, answer.granted, answer.asked + loan_time, now);
        answer.due = instant::max();
    }
    std::erase_if(self.answers, [](const borrow_answer& answer) { return answer.due == instant::max(); });
}

void serve_waiting(fleet& self, instant now) {
    std::erase_if(self.waiting, [&](const auto& entry) {
        const auto& [vm, deadline] = entry;
        if (!is_frozen(self, vm, now) && try_acquire(self.budgets[vm], now)) {
            self.meter.note(now);
            return true;
        }
        self.refused += now >= deadline ? 1 : 0;
        return now >= deadline;
    });
}

void send_load(fleet& self, instant now) {
    const double per_step =
        self.row.load * static_cast<double>(self.row.quota.rate) / microrequests_per_request / 1000;
    const auto whole = static_cast<int>(per_step);
    const int count = whole + (draw(self) < per_step - whole ? 1 : 0);
    for (int i = 0; i < count; ++i) {
        auto vm = static_cast<std::size_t>(draw(self) * vm_count);
        vm = draw(self) < self.row.skew ? 0 : vm;
        if (is_frozen(self, vm, now)) {
            continue;
        }
        ++self.sent;
        record_arrival(self.budgets[vm], now);
        self.waiting.emplace_back(vm, now + milliseconds{300});
    }
}

void check_fleet(const fleet_row& row) {
    const instant start{seconds{100}};
    fleet self = make_fleet(row, start);
    for (instant now = start; now < start + seconds{30}; now += step) {
        if (row.freeze && (now - start) % seconds{12} == seconds{2}) {
            self.frozen = static_cast<std::size_t>(draw(self) * vm_count);
            self.frozen_until = now + seconds{10};
        }
        deliver(self, now);
        if (now > start + seconds{1}) {
            send_load(self, now);
        }
        serve_waiting(self, now);
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            if (!is_frozen(self, vm, now)) {
                advance(self.budgets[vm], now);
                ask_lenders(self, vm, now);
            }
        }
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("excess " + std::to_string(self.meter.excess()), row.must_keep_contract,
                                 self.meter.kept());
    const double refused = static_cast<double>(self.refused) / static_cast<double>(self.sent);
    if (row.max_refused >= 0) {
        CPPUNIT_ASSERT_MESSAGE("refused " + std::to_string(refused), refused <= row.max_refused);
    }
    std::printf("  %s: refused %.4f of %zu\n", row.name.c_str(), refused, self.sent);
}

constexpr budget_share small_burst{200 * microrequests_per_request, 16 * microrequests_per_request};

// A caller within its rate: 0.9 of it, at random times, stays within the burst.
const test_table<fleet_row> fleet_table(
    "budget_fleet",
    {
        {"even load", sharing::loans, 1, 0, 0.9, 0, false, milliseconds{40}, true, 0.001},
        {"all on one VM", sharing::loans, 2, 1, 0.9, 0, false, milliseconds{40}, true, 0.001},
        {"all on one VM, far lenders", sharing::loans, 3, 1, 0.9, 0, false, milliseconds{110}, true, 0.001},
        {"half on one VM", sharing::loans, 4, 0.5, 0.9, 0, false, milliseconds{40}, true, 0.001},
        {"three times the rate", sharing::loans, 5, 0.5, 3, 0, false, milliseconds{40}},
        {"three times the rate, messages lost", sharing::loans, 6, 0.7, 3, 0.3, false, milliseconds{800}},
        {"frozen VMs", sharing::loans, 7, 0.3, 2, 0.1, true, milliseconds{200}},
        {"frozen VMs, another seed", sharing::loans, 8, 0.9, 5, 0.2, true, milliseconds{1400}},
        {"small burst, messages slow", sharing::loans, 6, 0.7, 3, 0, false, milliseconds{1400}, true, -1,
         small_burst},
        {"small burst, frozen VMs", sharing::loans, 9, 0.7, 3, 0.1, true, milliseconds{1400}, true, -1,
         small_burst},
        {"baseline: equal split, skewed", sharing::equal_split, 2, 1, 0.9, 0, false, milliseconds{40}},
        {"baseline: one owner, callers elsewhere", sharing::one_owner, 2, 0, 0.9, 0, false, milliseconds{40}},
        {"broken: the lender keeps its share", sharing::lender_keeps_share, 5, 0.5, 3, 0, false,
         milliseconds{40}, false},
        {"broken: doubled answers count", sharing::doubled_answer_counts, 5, 0.7, 3, 0, false,
         milliseconds{40}, false},
    },
    check_fleet);

// Two VMs that both spend whatever they have; the answer to a loan comes late.
bool keeps_contract_with_late_answer(bool counts_from_asking) {
    const budget_share quota{200 * microrequests_per_request, 10 * microrequests_per_request};
    const budget_share half{quota.rate / 2, quota.cap / 2};
    instant now{seconds{100}};
    budget lender = make_budget(now);
    budget borrower = make_budget(now);
    set_base_share(lender, half, now);
    set_base_share(borrower, half, now);
    rate_meter meter(quota);
    const instant asked = now;
    const auto granted = lend(lender, 1, half, loan_time, now);
    CPPUNIT_ASSERT(granted.has_value());
    const instant answered = asked + milliseconds{1400};
    for (; now < asked + seconds{5}; now += step) {
        if (now == answered) {
            accept_loan(borrower, 2, *granted, (counts_from_asking ? asked : now) + loan_time, now);
        }
        for (budget* each : {&lender, &borrower}) {
            if (try_acquire(*each, now)) {
                meter.note(now);
            }
        }
    }
    return meter.kept();
}

void late_answer_keeps_contract() {
    CPPUNIT_ASSERT(keeps_contract_with_late_answer(true));
}

void counting_from_the_answer_breaks_it() {
    CPPUNIT_ASSERT(!keeps_contract_with_late_answer(false));
}

const test_table<scenario>
    scenarios("budget_loan",
              {{"a late answer keeps the contract", late_answer_keeps_contract},
               {"broken: counting from the answer", counting_from_the_answer_breaks_it}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
