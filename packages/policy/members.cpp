#include "members.h"

#include "digest.h"

#include <algorithm>
#include <map>

namespace cassiaspan {

namespace {

// Rendezvous hashing: sorts members by the hash of their incarnation and `hash_key`, highest first.
template <class Member>
std::vector<Member> rank_by_weight(std::vector<Member> members, const std::string& hash_key) {
    const std::uint64_t seed = stable_hash(hash_key);
    const auto weight = [seed](const schema::Member& member) {
        const std::uint64_t incarnation = member.incarnation();
        return stable_hash({reinterpret_cast<const char*>(&incarnation), sizeof incarnation}, seed);
    };
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        order.emplace_back(weight(members[i]), i);
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<Member> ranked;
    ranked.reserve(members.size());
    for (const auto& entry : order) {
        ranked.push_back(std::move(members[entry.second]));
    }
    return ranked;
}

std::vector<schema::Member> to_vector(const schema::MemberList& list) {
    return {list.members().begin(), list.members().end()};
}

bool contains(const incarnation_list& list, std::uint64_t incarnation) {
    return std::find(list.begin(), list.end(), incarnation) != list.end();
}

bool has_same_members(const schema::MemberList& list, const std::vector<schema::Member>& members) {
    incarnation_list left;
    incarnation_list right;
    for (const auto& member : list.members()) {
        left.push_back(member.incarnation());
    }
    for (const auto& member : members) {
        right.push_back(member.incarnation());
    }
    std::sort(left.begin(), left.end());
    std::sort(right.begin(), right.end());
    return left == right;
}

// Takes members from the availability zones in turn. Within a zone, members of the current list come first,
// so that few records move.
std::vector<schema::Member> select_across_zones(const schema::MemberList& current,
                                                const std::vector<schema::Member>& live_members,
                                                std::size_t max_members) {
    incarnation_list current_ids;
    for (const auto& member : current.members()) {
        current_ids.push_back(member.incarnation());
    }
    std::map<std::string, std::vector<schema::Member>> by_zone;
    for (const auto& member : live_members) {
        by_zone[member.availability_zone()].push_back(member);
    }
    for (auto& [zone, members] : by_zone) {
        std::sort(members.begin(), members.end(), [&](const schema::Member& a, const schema::Member& b) {
            return std::make_pair(!contains(current_ids, a.incarnation()), a.incarnation()) <
                   std::make_pair(!contains(current_ids, b.incarnation()), b.incarnation());
        });
    }
    std::vector<schema::Member> chosen;
    for (std::size_t round = 0; chosen.size() < std::min(max_members, live_members.size()); ++round) {
        for (const auto& [zone, members] : by_zone) {
            if (round < members.size() && chosen.size() < max_members) {
                chosen.push_back(members[round]);
            }
        }
    }
    return chosen;
}

} // namespace

std::vector<incarnation_list> member_incarnations(const schema::Head& head) {
    std::vector<incarnation_list> lists;
    for (const auto& list : head.lists()) {
        incarnation_list members;
        for (const auto& member : list.members()) {
            members.push_back(member.incarnation());
        }
        lists.push_back(std::move(members));
    }
    return lists;
}

incarnation_list budget_holders(const schema::MemberList& list, const std::string& workspace) {
    incarnation_list holders;
    for (const auto& member : rank_by_weight(to_vector(list), workspace)) {
        if (holders.size() < budget_holders_per_workspace) {
            holders.push_back(member.incarnation());
        }
    }
    return holders;
}

budget_share base_share(const schema::Head& head, std::uint64_t self, const std::string& workspace,
                        budget_share quota) {
    std::optional<budget_share> smallest;
    for (const auto& list : head.lists()) {
        const incarnation_list holders = budget_holders(list, workspace);
        budget_share list_share;
        if (contains(holders, self)) {
            const auto count = static_cast<std::int64_t>(holders.size());
            list_share = {quota.rate / count, quota.cap / count};
        }
        smallest = smallest ? budget_share{std::min(smallest->rate, list_share.rate),
                                           std::min(smallest->cap, list_share.cap)}
                            : list_share;
    }
    return smallest.value_or(budget_share{});
}

std::vector<schema::Member> record_homes(const schema::MemberList& list, const std::string& workspace,
                                         const std::string& key, const std::string& home_region) {
    std::vector<schema::Member> candidates;
    for (const auto& member : list.members()) {
        if (member.region() == home_region) {
            candidates.push_back(member);
        }
    }
    if (candidates.size() < homes_per_record) {
        candidates = to_vector(list);
    }
    candidates = rank_by_weight(std::move(candidates), workspace + '\n' + key);
    if (candidates.size() < homes_per_record) {
        return candidates;
    }
    const auto other_zone =
        std::find_if(candidates.begin() + 1, candidates.end(), [&](const schema::Member& member) {
            return member.availability_zone() != candidates.front().availability_zone();
        });
    return {candidates.front(), other_zone == candidates.end() ? candidates[1] : *other_zone};
}

std::vector<schema::Member> record_homes(const schema::Head& head, const std::string& workspace,
                                         const std::string& key, const std::string& home_region) {
    std::vector<schema::Member> homes;
    incarnation_list seen;
    for (int i = head.lists_size() - 1; i >= 0; --i) {
        for (auto& member : record_homes(head.lists(i), workspace, key, home_region)) {
            if (!contains(seen, member.incarnation())) {
                seen.push_back(member.incarnation());
                homes.push_back(std::move(member));
            }
        }
    }
    return homes;
}

bool is_record_lost(const schema::Head& head, const std::string& workspace, const std::string& key,
                    const std::string& home_region, std::int64_t unix_now_s) {
    return std::any_of(head.lost_homes().begin(), head.lost_homes().end(),
                       [&](const schema::LostHomes& lost) {
                           const incarnation_list ended{lost.ended().begin(), lost.ended().end()};
                           const auto homes = record_homes(lost.list(), workspace, key, home_region);
                           return lost.until_s() > unix_now_s &&
                                  std::all_of(homes.begin(), homes.end(), [&](const schema::Member& home) {
                                      return contains(ended, home.incarnation());
                                  });
                       });
}

std::optional<schema::MemberList> next_member_list(const schema::Head& head,
                                                   const std::vector<schema::Member>& live_members,
                                                   std::size_t max_members) {
    const schema::MemberList current = head.lists_size() > 0 ? head.lists(0) : schema::MemberList{};
    std::vector<schema::Member> chosen = select_across_zones(current, live_members, max_members);
    if (chosen.empty() || has_same_members(current, chosen)) {
        return std::nullopt;
    }
    schema::MemberList list;
    for (const auto& member : chosen) {
        *list.add_members() = member;
    }
    return list;
}

} // namespace cassiaspan
