// Assignments derived from the member lists of the head: budget shares, the VMs that store each idempotency
// record (its homes), and the next member list.
//
// Holders and homes are chosen by rendezvous hashing over incarnations, so that a change of one member moves
// only the keys of that member.
#pragma once

#include "budget.h"
#include "config_freshness.h"
#include "head.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// Number of VMs that hold a base share of one workspace's budget. The other VMs borrow from them.
constexpr std::size_t budget_holders_per_workspace = 8;

// Number of VMs that store one idempotency record: two, in different availability zones if the candidates
// span more than one.
constexpr std::size_t homes_per_record = 2;

// Returns the member incarnations of each list of the head, in the order of the lists.
[[nodiscard]] std::vector<incarnation_list> member_incarnations(const schema::Head& head);

// Returns the incarnations that hold a share of the workspace's budget according to `list`: all members if
// there are no more than budget_holders_per_workspace.
[[nodiscard]] incarnation_list budget_holders(const schema::MemberList& list, const std::string& workspace);

// Returns the base share of the VM `self`: an equal part of `quota` for each holder. While several lists are
// unsettled, it is the smallest share that any of them gives, so that one VM's share does not grow before the
// shares of others have shrunk. Returns a zero share if a list does not name `self` as a holder, or if there
// are no lists.
[[nodiscard]] budget_share base_share(const schema::Head& head, std::uint64_t self,
                                      const std::string& workspace, budget_share quota);

// Returns the homes of a record according to `list`. The first one decides between attempts that claim the
// record at the same time. Homes are in `home_region` if it has at least two members, or else in any region.
// Returns fewer than two if the list has fewer members.
[[nodiscard]] std::vector<schema::Member> record_homes(const schema::MemberList& list,
                                                       const std::string& workspace, const std::string& key,
                                                       const std::string& home_region);

// Returns the homes according to every unsettled list, those of older lists first, without duplicates.
[[nodiscard]] std::vector<schema::Member> record_homes(const schema::Head& head, const std::string& workspace,
                                                       const std::string& key,
                                                       const std::string& home_region);

// Returns whether the record may have been lost: all of its homes in some former list ended without handing
// over their records, and the period for which the head keeps that entry is not over. `unix_now_s` is Unix
// time in seconds.
[[nodiscard]] bool is_record_lost(const schema::Head& head, const std::string& workspace,
                                  const std::string& key, const std::string& home_region,
                                  std::int64_t unix_now_s);

// Returns the member list to adopt next, chosen from `live_members` and spread over availability zones, with
// at most `max_members` members. Returns nullopt if the newest list already has these members, or if there
// are no live members.
[[nodiscard]] std::optional<schema::MemberList>
next_member_list(const schema::Head& head, const std::vector<schema::Member>& live_members,
                 std::size_t max_members);

} // namespace cassiaspan
