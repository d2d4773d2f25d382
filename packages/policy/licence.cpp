#include "licence.h"

#include <algorithm>

namespace cassiaspan {

namespace {

bool is_majority(std::size_t votes, std::size_t all) {
    return 2 * votes > all;
}

bool heard_within(const licence_state& state, std::uint64_t member, nanoseconds freshness, instant now) {
    if (member == state.self) {
        return state.synced;
    }
    const auto found = state.heard.find(member);
    return found != state.heard.end() && now - found->second.asked < freshness;
}

bool hears_majority(const licence_state& state, const electorate& list, nanoseconds freshness, instant now) {
    const auto votes = std::count_if(list.begin(), list.end(), [&](std::uint64_t member) {
        return heard_within(state, member, freshness, now);
    });
    return is_majority(static_cast<std::size_t>(votes), list.size());
}

bool hears_all_majorities(const licence_state& state, const std::vector<electorate>& lists,
                          nanoseconds freshness, instant now) {
    return !lists.empty() && std::all_of(lists.begin(), lists.end(), [&](const electorate& list) {
        return hears_majority(state, list, freshness, now);
    });
}

// A VM that was heard of a newer generation must fetch it before it counts as current.
bool is_behind(const licence_state& state, nanoseconds freshness, instant now) {
    if (state.store_proof && state.store_proof->generation > state.generation) {
        return true;
    }
    return std::any_of(state.heard.begin(), state.heard.end(), [&](const auto& entry) {
        return entry.second.generation > state.generation && now - entry.second.asked < freshness;
    });
}

} // namespace

std::string_view to_string(licence_verdict verdict) {
    switch (verdict) {
    case licence_verdict::by_store:
        return "proof from the store";
    case licence_verdict::by_majority:
        return "majority of the members";
    case licence_verdict::not_synced:
        return "not synced since start";
    case licence_verdict::behind:
        return "a newer generation is known";
    case licence_verdict::no_proof:
        return "no fresh proof";
    }
    return "unknown";
}

void note_store_proof(licence_state& state, sighting proof) {
    if (!state.store_proof || state.store_proof->asked < proof.asked) {
        if (state.store_proof) {
            proof.generation = std::max(proof.generation, state.store_proof->generation);
        }
        state.store_proof = proof;
    }
}

void note_member(licence_state& state, std::uint64_t member, sighting seen) {
    sighting& entry = state.heard[member];
    entry.generation = std::max(entry.generation, seen.generation);
    entry.asked = std::max(entry.asked, seen.asked);
}

void adopt(licence_state& state, std::uint64_t generation) {
    state.generation = std::max(state.generation, generation);
}

licence_verdict judge(licence_state& state, const std::vector<electorate>& lists, nanoseconds freshness,
                      instant now) {
    if (state.generation == 0 || is_behind(state, freshness, now)) {
        return state.generation == 0 ? licence_verdict::not_synced : licence_verdict::behind;
    }
    const bool proven = state.store_proof && now - state.store_proof->asked < freshness;
    if (proven || hears_all_majorities(state, lists, freshness, now)) {
        state.synced = true;
        return proven ? licence_verdict::by_store : licence_verdict::by_majority;
    }
    return state.synced ? licence_verdict::no_proof : licence_verdict::not_synced;
}

bool allows_keyed_work(licence_verdict verdict) {
    return verdict == licence_verdict::by_store || verdict == licence_verdict::by_majority;
}

bool is_accepted(const licence_state& state, const std::vector<electorate>& lists, const electorate& ended,
                 std::uint64_t generation) {
    const auto holds = [&](std::uint64_t member) {
        if (member == state.self) {
            return state.synced && state.generation >= generation;
        }
        const auto found = state.heard.find(member);
        return found != state.heard.end() && found->second.generation >= generation;
    };
    return std::all_of(lists.begin(), lists.end(), [&](const electorate& list) {
        electorate counted;
        std::copy_if(list.begin(), list.end(), std::back_inserter(counted), [&](std::uint64_t member) {
            return std::find(ended.begin(), ended.end(), member) == ended.end();
        });
        const auto votes = std::count_if(counted.begin(), counted.end(), holds);
        return counted.empty() || is_majority(static_cast<std::size_t>(votes), counted.size());
    });
}

} // namespace cassiaspan
