#include "budget_book.h"

#include "members.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Longest sleep of a request that waits for tokens before it looks again.
constexpr milliseconds refill_poll{10};

incarnation_list lenders_of(const schema::Head& head, const std::string& workspace, std::uint64_t self) {
    incarnation_list lenders;
    for (const auto& list : head.lists()) {
        for (const std::uint64_t holder : budget_holders(list, workspace)) {
            if (holder != self && std::find(lenders.begin(), lenders.end(), holder) == lenders.end()) {
                lenders.push_back(holder);
            }
        }
    }
    return lenders;
}

} // namespace

void budget_book::apply(const generation_view& generation, bool standalone) {
    std::map<std::string, std::shared_ptr<entry>> next;
    const instant now = this->time.now();
    for (const workspace_config& workspace : generation.configuration->workspaces()) {
        std::shared_ptr<entry> kept = this->find(workspace.name);
        if (!kept) {
            kept = std::make_shared<entry>();
            kept->state = make_budget(now);
        }
        const budget_share base =
            standalone ? workspace.quota
                       : base_share(generation.head, this->self, workspace.name, workspace.quota);
        {
            const std::scoped_lock lock(kept->mutex);
            set_base_share(kept->state, base, now);
            kept->quota = workspace.quota;
            kept->lenders = lenders_of(generation.head, workspace.name, this->self);
        }
        next[workspace.name] = kept;
    }
    const std::scoped_lock lock(this->mutex);
    this->entries = std::move(next);
}

std::shared_ptr<budget_book::entry> budget_book::find(const std::string& workspace) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->entries.find(workspace);
    return found == this->entries.end() ? nullptr : found->second;
}

void budget_book::signal_need() {
    const std::scoped_lock lock(this->mutex);
    this->need = true;
    this->needed.notify_one();
}

bool budget_book::take(const std::string& workspace, instant deadline) {
    const std::shared_ptr<entry> found = this->find(workspace);
    if (!found) {
        return false;
    }
    std::unique_lock lock(found->mutex);
    record_arrival(found->state, this->time.now());
    while (true) {
        const instant now = this->time.now();
        if (try_acquire(found->state, now)) {
            return true;
        }
        if (now >= deadline) {
            return false;
        }
        lock.unlock();
        this->signal_need();
        lock.lock();
        found->refilled.wait_for(lock, std::min<nanoseconds>(refill_poll, deadline - now));
    }
}

void budget_book::refund(const std::string& workspace) {
    if (const std::shared_ptr<entry> found = this->find(workspace)) {
        const std::scoped_lock lock(found->mutex);
        cassiaspan::refund(found->state, this->time.now());
    }
}

std::optional<grant> budget_book::lend_to(const std::string& workspace, std::uint64_t borrower,
                                          budget_share wanted, milliseconds duration) {
    const std::shared_ptr<entry> found = this->find(workspace);
    if (!found) {
        return std::nullopt;
    }
    const std::scoped_lock lock(found->mutex);
    return lend(found->state, borrower, wanted, duration, this->time.now());
}

void budget_book::accept(const std::string& workspace, std::uint64_t lender, const grant& granted,
                         instant until) {
    if (const std::shared_ptr<entry> found = this->find(workspace)) {
        const std::scoped_lock lock(found->mutex);
        accept_loan(found->state, lender, granted, until, this->time.now());
        found->refilled.notify_all();
    }
}

std::vector<borrow_wish> budget_book::wishes() {
    std::map<std::string, std::shared_ptr<entry>> copy;
    {
        const std::scoped_lock lock(this->mutex);
        copy = this->entries;
    }
    std::vector<borrow_wish> list;
    for (const auto& [name, found] : copy) {
        const std::scoped_lock lock(found->mutex);
        advance(found->state, this->time.now());
        const budget_share wanted = share_to_borrow(found->state, found->quota);
        if ((wanted.rate > 0 || wanted.cap > 0) && !found->lenders.empty()) {
            list.push_back({name, wanted, found->lenders});
        }
    }
    return list;
}

void budget_book::wait_for_need(milliseconds timeout) {
    std::unique_lock lock(this->mutex);
    this->needed.wait_for(lock, timeout, [this] { return this->need || this->stopping; });
    this->need = false;
}

void budget_book::stop() {
    const std::scoped_lock lock(this->mutex);
    this->stopping = true;
    this->needed.notify_all();
}

std::vector<budget_row> budget_book::rows() {
    std::map<std::string, std::shared_ptr<entry>> copy;
    {
        const std::scoped_lock lock(this->mutex);
        copy = this->entries;
    }
    std::vector<budget_row> list;
    for (const auto& [name, found] : copy) {
        const std::scoped_lock lock(found->mutex);
        advance(found->state, this->time.now());
        list.push_back({name, found->state.tokens, effective_share(found->state), found->state.base});
    }
    return list;
}

} // namespace cassiaspan
