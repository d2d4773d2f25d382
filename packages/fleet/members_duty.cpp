#include "members_duty.h"

#include "head_change.h"
#include "members.h"

#include <algorithm>
#include <set>

namespace cassiaspan {

namespace {

// A proposed list must stay the same for this long, so that VMs that start together are named together.
constexpr milliseconds proposal_time{1000};
// Longest retention of an idempotency record: how long lost homes are remembered.
constexpr std::chrono::hours lost_homes_time{24};
constexpr int drift_divisor = 50;

bool contains(const incarnation_list& list, std::uint64_t incarnation) {
    return std::find(list.begin(), list.end(), incarnation) != list.end();
}

schema::Head begin_change(const schema::Head& head, const std::string& summary) {
    return next_generation(
        head, {"members-" + std::to_string(head.generation() + 1), system_operator_name, summary});
}

std::string describe(const schema::MemberList& list) {
    std::string text = "members";
    for (const auto& member : list.members()) {
        text += " " + member.vm();
    }
    return text;
}

} // namespace

members_duty::members_duty(members_options options_in, node_state& node_in, const clock& clock_in)
    : options(options_in), node(node_in), time(clock_in) {}

void members_duty::reset() {
    this->missing_since.clear();
    this->accepted_since.reset();
    this->proposed_since.reset();
}

// A decrease is in force everywhere once the list is accepted and every proof and loan of before has run out.
nanoseconds members_duty::hold_time() const {
    const nanoseconds whole = this->options.freshness + this->options.loan;
    return whole + whole / drift_divisor;
}

std::optional<schema::Head> members_duty::next_head(std::uint64_t own_handed_over) {
    const auto generation = this->node.current();
    if (!generation) {
        return std::nullopt;
    }
    const incarnation_list ended = this->find_ended(generation->head);
    if (generation->head.lists_size() > 1) {
        return this->settle(generation->head, ended, own_handed_over);
    }
    return this->change_list(generation->head, ended);
}

bool members_duty::is_ended(const schema::Member& member, const std::vector<peer_knowledge>& peers,
                            const vm_list_view& vms) {
    const instant now = this->time.now();
    const auto heard = std::find_if(peers.begin(), peers.end(), [&](const peer_knowledge& peer) {
        return peer.member.incarnation() == member.incarnation();
    });
    const bool fresh = heard != peers.end() && now - heard->asked < this->options.freshness;
    const bool replaced = this->node.is_replaced(member);
    const bool listed = std::any_of(vms.list.vms().begin(), vms.list.vms().end(),
                                    [&](const schema::Vm& vm) { return vm.name() == member.vm(); });
    if (fresh || (listed && !replaced) || member.incarnation() == this->node.self().incarnation()) {
        this->missing_since.erase(member.incarnation());
        return false;
    }
    const instant since = this->missing_since.try_emplace(member.incarnation(), now).first->second;
    // A new incarnation at the same address is certain; the platform's list may be late.
    const nanoseconds lag = replaced ? nanoseconds{0} : this->options.vm_list_lag;
    return now - since > lag + this->options.freshness;
}

incarnation_list members_duty::find_ended(const schema::Head& head) {
    const auto peers = this->node.peers();
    const vm_list_view vms = this->node.vm_list();
    incarnation_list ended;
    for (const auto& list : head.lists()) {
        for (const auto& member : list.members()) {
            if (!contains(ended, member.incarnation()) && this->is_ended(member, peers, vms)) {
                ended.push_back(member.incarnation());
            }
        }
    }
    return ended;
}

std::vector<schema::Member> members_duty::find_alive(const schema::Head& head,
                                                     const incarnation_list& ended) const {
    const auto peers = this->node.peers();
    const instant now = this->time.now();
    std::set<std::uint64_t> leaving;
    std::vector<schema::Member> alive;
    incarnation_list taken;
    const auto add = [&](const schema::Member& member) {
        // A VM that runs another incarnation by now has no use for the former one's place.
        if (!this->node.is_replaced(member) && !contains(ended, member.incarnation()) &&
            leaving.count(member.incarnation()) == 0 && !contains(taken, member.incarnation())) {
            taken.push_back(member.incarnation());
            alive.push_back(member);
        }
    };
    for (const peer_knowledge& peer : peers) {
        if (peer.leaving) {
            leaving.insert(peer.member.incarnation());
        }
    }
    if (this->node.is_leaving()) {
        leaving.insert(this->node.self().incarnation());
    }
    // Members that are not heard stay named until the platform drops them: they may only be cut off.
    for (int i = 0; i < std::min(1, head.lists_size()); ++i) {
        for (const auto& member : head.lists(i).members()) {
            add(member);
        }
    }
    add(this->node.self());
    for (const peer_knowledge& peer : peers) {
        if (peer.synced && now - peer.asked < this->options.freshness) {
            add(peer.member);
        }
    }
    return alive;
}

bool members_duty::has_handed_over(const schema::Head& head, const incarnation_list& ended,
                                   std::uint64_t own_handed_over) const {
    const auto peers = this->node.peers();
    for (int i = 1; i < head.lists_size(); ++i) {
        for (const auto& member : head.lists(i).members()) {
            if (contains(ended, member.incarnation())) {
                continue;
            }
            std::uint64_t done =
                member.incarnation() == this->node.self().incarnation() ? own_handed_over : 0;
            for (const peer_knowledge& peer : peers) {
                if (peer.member.incarnation() == member.incarnation()) {
                    done = peer.handed_over_generation;
                }
            }
            if (done < head.lists_generation()) {
                return false;
            }
        }
    }
    return true;
}

std::optional<schema::Head> members_duty::settle(const schema::Head& head, const incarnation_list& ended,
                                                 std::uint64_t own_handed_over) {
    const instant now = this->time.now();
    if (this->accepted_lists_generation != head.lists_generation()) {
        this->accepted_lists_generation = head.lists_generation();
        this->accepted_since.reset();
    }
    if (!this->accepted_since && this->node.is_generation_accepted(ended, head.lists_generation())) {
        this->accepted_since = now;
    }
    const bool held = this->accepted_since && now - *this->accepted_since > this->hold_time();
    if (!held || !this->has_handed_over(head, ended, own_handed_over)) {
        return std::nullopt;
    }
    schema::Head next = begin_change(head, "settled");
    for (int i = 1; i < head.lists_size(); ++i) {
        schema::LostHomes lost;
        for (const auto& member : head.lists(i).members()) {
            if (contains(ended, member.incarnation())) {
                lost.add_ended(member.incarnation());
            }
        }
        if (lost.ended_size() >= static_cast<int>(homes_per_record)) {
            *lost.mutable_list() = head.lists(i);
            const auto until = std::chrono::system_clock::now() + lost_homes_time;
            lost.set_until_s(std::chrono::duration_cast<seconds>(until.time_since_epoch()).count());
            *next.add_lost_homes() = std::move(lost);
        }
    }
    next.mutable_lists()->DeleteSubrange(1, next.lists_size() - 1);
    return next;
}

std::optional<schema::Head> members_duty::change_list(const schema::Head& head,
                                                      const incarnation_list& ended) {
    const auto list = next_member_list(head, this->find_alive(head, ended), this->options.member_limit);
    const std::string text = list ? list->SerializeAsString() : "";
    const instant now = this->time.now();
    if (text != this->proposal || !this->proposed_since) {
        this->proposal = text;
        this->proposed_since = now;
    }
    if (!list || now - *this->proposed_since < proposal_time) {
        return std::nullopt;
    }
    schema::Head next = begin_change(head, describe(*list));
    next.set_lists_generation(next.generation());
    next.clear_lists();
    *next.add_lists() = *list;
    for (const auto& former : head.lists()) {
        *next.add_lists() = former;
    }
    return next;
}

} // namespace cassiaspan
