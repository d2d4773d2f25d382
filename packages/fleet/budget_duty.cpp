#include "budget_duty.h"

#include "address.h"

namespace cassiaspan {

namespace {

constexpr milliseconds idle_look{100};

std::optional<schema::Member> find_member(const schema::Head& head, std::uint64_t incarnation) {
    for (const auto& list : head.lists()) {
        for (const auto& member : list.members()) {
            if (member.incarnation() == incarnation) {
                return member;
            }
        }
    }
    return std::nullopt;
}

} // namespace

budget_duty::budget_duty(milliseconds loan_in, budget_book& budgets_in, node_state& node_in,
                         peer_caller& peers_in, const clock& clock_in)
    : loan(loan_in), budgets(budgets_in), node(node_in), peers(peers_in), time(clock_in) {}

budget_duty::~budget_duty() {
    this->stop();
}

void budget_duty::stop() {
    this->stopping = true;
    this->budgets.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void budget_duty::start() {
    this->thread = std::thread([this] { this->run(); });
}

void budget_duty::run() {
    while (!this->stopping) {
        this->budgets.wait_for_need(idle_look);
        for (const borrow_wish& wish : this->budgets.wishes()) {
            this->ask_lenders(wish);
        }
    }
}

void budget_duty::ask_lenders(const borrow_wish& wish) {
    const auto generation = this->node.current();
    if (!generation) {
        return;
    }
    const budget_share part = share_per_lender(wish.wanted, wish.lenders.size());
    for (const std::uint64_t lender : wish.lenders) {
        const auto member = find_member(generation->head, lender);
        bool due = false;
        {
            const std::scoped_lock lock(this->mutex);
            lender_state& state = this->lenders[{wish.workspace, lender}];
            due = member && is_loan_request_due(state, part, this->loan, this->time.now());
            if (due) {
                state = {true, this->time.now(), part};
            }
        }
        if (due) {
            this->ask(wish, *member, part);
        }
    }
}

void budget_duty::ask(const borrow_wish& wish, const schema::Member& lender, budget_share wanted) {
    const lender_key key{wish.workspace, lender.incarnation()};
    const auto address = parse_address(lender.peer_address());
    schema::PeerRequest request;
    request.mutable_borrow()->set_workspace(wish.workspace);
    request.mutable_borrow()->set_rate(wanted.rate);
    request.mutable_borrow()->set_cap(wanted.cap);
    const instant asked = this->time.now();
    const auto on_result = [this, key, asked](const peer_result& result) {
        // Counted from the asking, so that the loan ends here before it ends at the lender.
        if (result && result->borrow().duration_ms() > 0) {
            const auto& reply = result->borrow();
            this->budgets.accept(key.workspace, key.lender, {{reply.rate(), reply.cap()}, reply.tokens()},
                                 asked + milliseconds{reply.duration_ms()});
        }
        const std::scoped_lock lock(this->mutex);
        this->lenders[key].request_pending = false;
    };
    if (!address) {
        on_result(tl::make_unexpected(peer_failure::unreachable));
        return;
    }
    this->peers.call(*address, lender.incarnation(), std::move(request), on_result);
}

} // namespace cassiaspan
