// Borrows budget from peers for workspaces that run short here.
#pragma once

#include "borrowing.h"
#include "budget_book.h"
#include "node_state.h"
#include "peer_channel.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace cassiaspan {

// Runs on a thread of its own.
class budget_duty {
public:
    budget_duty(milliseconds loan_in, budget_book& budgets_in, node_state& node_in, peer_caller& peers_in,
                const clock& clock_in);
    ~budget_duty();
    budget_duty(const budget_duty&) = delete;
    budget_duty& operator=(const budget_duty&) = delete;
    budget_duty(budget_duty&&) = delete;
    budget_duty& operator=(budget_duty&&) = delete;

    // Starts the thread.
    void start();
    // Ends the thread.
    void stop();

private:
    // One lender as one workspace sees it.
    struct lender_key {
        std::string workspace;
        std::uint64_t lender = 0;
        auto operator<=>(const lender_key&) const = default;
    };

    void run();
    void ask_lenders(const borrow_wish& wish);
    void ask(const borrow_wish& wish, const schema::Member& lender, budget_share wanted);

    milliseconds loan;
    budget_book& budgets;
    node_state& node;
    peer_caller& peers;
    const clock& time;
    std::mutex mutex;
    std::map<lender_key, lender_state> lenders;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace cassiaspan
