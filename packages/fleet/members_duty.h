// Names the members of the fleet in the head: takes in new VMs, drops ended and leaving ones, settles old
// lists.
//
// At most one VM does this at a time, by a lease; that it is only one is for economy, since every step is a
// compare-and-swap of the head.
#pragma once

#include "node_state.h"

#include <map>
#include <optional>

namespace cassiaspan {

// Times that the steps wait for.
struct members_options {
    // Maximum age of a freshness proof.
    nanoseconds freshness{};
    // How long a loan lasts at the most.
    nanoseconds loan{};
    // How far the platform's list may lag behind.
    nanoseconds vm_list_lag{};
    std::size_t member_limit = 0;
};

// State of the duty at its holder.
class members_duty {
public:
    members_duty(members_options options_in, node_state& node_in, const clock& clock_in);

    // Returns the head to write next, if one is due.
    [[nodiscard]] std::optional<schema::Head> next_head(std::uint64_t own_handed_over);
    // Forgets all waits; called when the duty was not held for a while.
    void reset();

private:
    [[nodiscard]] bool is_ended(const schema::Member& member, const std::vector<peer_knowledge>& peers,
                                const vm_list_view& vms);
    [[nodiscard]] incarnation_list find_ended(const schema::Head& head);
    [[nodiscard]] std::vector<schema::Member> find_alive(const schema::Head& head,
                                                         const incarnation_list& ended) const;
    [[nodiscard]] std::optional<schema::Head> settle(const schema::Head& head, const incarnation_list& ended,
                                                     std::uint64_t own_handed_over);
    [[nodiscard]] bool has_handed_over(const schema::Head& head, const incarnation_list& ended,
                                       std::uint64_t own_handed_over) const;
    [[nodiscard]] std::optional<schema::Head> change_list(const schema::Head& head,
                                                          const incarnation_list& ended);
    [[nodiscard]] nanoseconds hold_time() const;

    members_options options;
    node_state& node;
    const clock& time;
    std::map<std::uint64_t, instant> missing_since;
    std::optional<instant> accepted_since;
    std::uint64_t accepted_lists_generation = 0;
    std::optional<instant> proposed_since;
    std::string proposal;
};

} // namespace cassiaspan
