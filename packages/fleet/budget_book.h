// The budgets of all workspaces at this VM, shared by the request threads and the borrowing duty.
#pragma once

#include "budget.h"
#include "config_snapshot.h"
#include "head.pb.h"
#include "node_state.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// What one workspace wants to borrow, and from whom.
struct borrow_wish {
    std::string workspace;
    budget_share wanted;
    incarnation_list lenders;
};

// One row of a status page.
struct budget_row {
    std::string workspace;
    std::int64_t tokens = 0;
    budget_share effective;
    budget_share base;
};

// May be used from any thread.
class budget_book {
public:
    budget_book(std::uint64_t self_in, const clock& clock_in) : self(self_in), time(clock_in) {}

    // Sets all base shares as the generation has them. Standalone: this VM holds the whole quota.
    void apply(const generation_view& generation, bool standalone);

    // Takes one request's tokens, waiting until `deadline` for borrowed ones.
    [[nodiscard]] bool take(const std::string& workspace, instant deadline);
    // Gives back what was taken for a request that was certainly not run.
    void refund(const std::string& workspace);

    // Lends to a peer; nothing when there is no spare share.
    [[nodiscard]] std::optional<grant> lend_to(const std::string& workspace, std::uint64_t borrower,
                                               budget_share wanted, milliseconds duration);
    // Takes in a loan that ends at `until`.
    void accept(const std::string& workspace, std::uint64_t lender, const grant& granted, instant until);

    // Returns what to ask for now.
    [[nodiscard]] std::vector<borrow_wish> wishes();
    // Waits until a request lacks tokens, or the time is over.
    void wait_for_need(milliseconds timeout);
    // Ends all waits.
    void stop();

    [[nodiscard]] std::vector<budget_row> rows();

private:
    struct entry {
        std::mutex mutex;
        std::condition_variable refilled;
        budget state;
        budget_share quota;
        incarnation_list lenders;
    };

    [[nodiscard]] std::shared_ptr<entry> find(const std::string& workspace);
    void signal_need();

    std::uint64_t self;
    const clock& time;
    std::mutex mutex;
    std::condition_variable needed;
    bool need = false;
    bool stopping = false;
    std::map<std::string, std::shared_ptr<entry>> entries;
};

} // namespace cassiaspan
