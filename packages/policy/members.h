// What follows from the member lists of the head: shares of budgets, homes of idempotency records, duties.
#pragma once

#include "budget.h"
#include "config_freshness.h"
#include "head.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// VMs that hold a share of one workspace's budget; the others borrow from them.
constexpr std::size_t budget_holders_per_workspace = 8;

// VMs that keep one idempotency record: two, in different availability zones where there are two.
constexpr std::size_t homes_per_record = 2;

// Returns the incarnations of each list of the head.
[[nodiscard]] std::vector<incarnation_list> member_incarnations(const schema::Head& head);

// Returns the incarnations that hold a share of the workspace's budget by `list`.
[[nodiscard]] incarnation_list budget_holders(const schema::MemberList& list, const std::string& workspace);

// Returns the share that every unsettled list leaves to `self`: the smallest, so that an increase waits for
// the decreases it depends on.
[[nodiscard]] budget_share base_share(const schema::Head& head, std::uint64_t self,
                                      const std::string& workspace, budget_share quota);

// Returns the homes of a record by `list`, first the one that decides. Fewer than two when there are too few
// VMs.
[[nodiscard]] std::vector<schema::Member> record_homes(const schema::MemberList& list,
                                                       const std::string& workspace, const std::string& key,
                                                       const std::string& home_region);

// Returns the homes by every unsettled list, older lists first, each once.
[[nodiscard]] std::vector<schema::Member> record_homes(const schema::Head& head, const std::string& workspace,
                                                       const std::string& key,
                                                       const std::string& home_region);

// Returns whether every home that ever kept the record may have ended without handing it over. `wall_now_s`
// is Unix time in seconds.
[[nodiscard]] bool is_record_lost(const schema::Head& head, const std::string& workspace,
                                  const std::string& key, const std::string& home_region,
                                  std::int64_t unix_now_s);

// Returns the list to name next for the VMs that are alive, or nothing when the present one serves. At most
// `limit` members are named, spread over availability zones.
[[nodiscard]] std::optional<schema::MemberList>
next_member_list(const schema::Head& head, const std::vector<schema::Member>& live_members,
                 std::size_t max_members);

} // namespace cassiaspan
