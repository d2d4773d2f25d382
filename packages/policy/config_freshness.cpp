#include "config_freshness.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Strict majority: exactly half is not enough.
bool is_majority(std::size_t votes, std::size_t all) {
    return 2 * votes > all;
}

bool has_fresh_report(const freshness_state& state, std::uint64_t member, nanoseconds max_age, instant now) {
    if (member == state.self) {
        return state.synced;
    }
    const auto found = state.member_reports.find(member);
    return found != state.member_reports.end() && now - found->second.requested_at < max_age;
}

bool has_fresh_majority(const freshness_state& state, const incarnation_list& list, nanoseconds max_age,
                        instant now) {
    const auto votes = std::count_if(list.begin(), list.end(), [&](std::uint64_t member) {
        return has_fresh_report(state, member, max_age, now);
    });
    return is_majority(static_cast<std::size_t>(votes), list.size());
}

bool has_fresh_majority_of_all(const freshness_state& state, const std::vector<incarnation_list>& lists,
                               nanoseconds max_age, instant now) {
    return !lists.empty() && std::all_of(lists.begin(), lists.end(), [&](const incarnation_list& list) {
        return has_fresh_majority(state, list, max_age, now);
    });
}

// Returns whether the store, or a member in a recent report, holds a newer generation. The VM must fetch that
// generation before it counts as current.
bool is_outdated(const freshness_state& state, nanoseconds max_age, instant now) {
    if (state.store_proof && state.store_proof->generation > state.generation) {
        return true;
    }
    return std::any_of(state.member_reports.begin(), state.member_reports.end(), [&](const auto& entry) {
        return entry.second.generation > state.generation && now - entry.second.requested_at < max_age;
    });
}

} // namespace

std::string_view to_string(freshness_status status) {
    switch (status) {
    case freshness_status::confirmed_by_store:
        return "proof from the store";
    case freshness_status::confirmed_by_majority:
        return "majority of the members";
    case freshness_status::not_synced:
        return "not synced since start";
    case freshness_status::outdated:
        return "a newer generation is known";
    case freshness_status::no_fresh_proof:
        return "no fresh proof";
    }
    return "unknown";
}

void record_store_proof(freshness_state& state, generation_report proof) {
    if (!state.store_proof || state.store_proof->requested_at < proof.requested_at) {
        if (state.store_proof) {
            proof.generation = std::max(proof.generation, state.store_proof->generation);
        }
        state.store_proof = proof;
    }
}

void record_member_report(freshness_state& state, std::uint64_t member, generation_report report) {
    generation_report& entry = state.member_reports[member];
    entry.generation = std::max(entry.generation, report.generation);
    entry.requested_at = std::max(entry.requested_at, report.requested_at);
}

void advance_generation(freshness_state& state, std::uint64_t generation) {
    state.generation = std::max(state.generation, generation);
}

freshness_status check_freshness(freshness_state& state, const std::vector<incarnation_list>& lists,
                                 nanoseconds max_age, instant now) {
    if (state.generation == 0 || is_outdated(state, max_age, now)) {
        return state.generation == 0 ? freshness_status::not_synced : freshness_status::outdated;
    }
    const bool proven = state.store_proof && now - state.store_proof->requested_at < max_age;
    if (proven || has_fresh_majority_of_all(state, lists, max_age, now)) {
        state.synced = true;
        return proven ? freshness_status::confirmed_by_store : freshness_status::confirmed_by_majority;
    }
    return state.synced ? freshness_status::no_fresh_proof : freshness_status::not_synced;
}

bool allows_authenticated_requests(freshness_status status) {
    return status == freshness_status::confirmed_by_store ||
           status == freshness_status::confirmed_by_majority;
}

bool is_held_by_majorities(const freshness_state& state, const std::vector<incarnation_list>& lists,
                           const incarnation_list& ended, std::uint64_t generation) {
    const auto holds = [&](std::uint64_t member) {
        if (member == state.self) {
            return state.synced && state.generation >= generation;
        }
        const auto found = state.member_reports.find(member);
        return found != state.member_reports.end() && found->second.generation >= generation;
    };
    return std::all_of(lists.begin(), lists.end(), [&](const incarnation_list& list) {
        incarnation_list voters;
        std::copy_if(list.begin(), list.end(), std::back_inserter(voters), [&](std::uint64_t member) {
            return std::find(ended.begin(), ended.end(), member) == ended.end();
        });
        const auto votes = std::count_if(voters.begin(), voters.end(), holds);
        return voters.empty() || is_majority(static_cast<std::size_t>(votes), voters.size());
    });
}

} // namespace cassiaspan
