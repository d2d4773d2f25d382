// Tests budget shares, homes of idempotency records and the next member list, as derived from member lists.

#include "members.h"
#include "table_test.h"

#include <algorithm>

namespace cassiaspan::test {
namespace {

schema::Member make_member(std::uint64_t incarnation) {
    schema::Member member;
    member.set_vm("vm-" + std::to_string(incarnation));
    member.set_incarnation(incarnation);
    member.set_region(incarnation % 2 == 0 ? "ege" : "marmara");
    member.set_availability_zone(member.region() + std::to_string(incarnation / 2 % 2));
    return member;
}

schema::MemberList make_list(const std::vector<std::uint64_t>& incarnations) {
    schema::MemberList list;
    for (const std::uint64_t incarnation : incarnations) {
        *list.add_members() = make_member(incarnation);
    }
    return list;
}

const budget_share quota{100 * microrequests_per_request, 40 * microrequests_per_request};

struct share_row {
    std::string name;
    std::vector<std::vector<std::uint64_t>> lists;
};

// For any combination of lists, the shares of all VMs sum to at most the quota. With a single list they sum
// to more than 99 % of its rate.
void check_shares(const share_row& row) {
    schema::Head head;
    for (const auto& list : row.lists) {
        *head.add_lists() = make_list(list);
    }
    for (const std::string workspace : {"fisler", "fatura", "tarama"}) {
        budget_share sum;
        for (std::uint64_t vm = 1; vm < 100; ++vm) {
            const budget_share share = base_share(head, vm, workspace, quota);
            sum.rate += share.rate;
            sum.cap += share.cap;
        }
        CPPUNIT_ASSERT(sum.rate <= quota.rate && sum.cap <= quota.cap);
        if (row.lists.size() == 1) {
            CPPUNIT_ASSERT(sum.rate > quota.rate * 99 / 100);
        }
    }
}

const test_table<share_row>
    shares("base_share",
           {{"one VM", {{1}}},
            {"three VMs", {{1, 2, 3}}},
            {"eight VMs", {{1, 2, 3, 4, 5, 6, 7, 8}}},
            {"thirty VMs", {{1,  2,  3,  4,  5,  6,  7,  8,  9,  10, 11, 12, 13, 14, 15,
                             16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30}}},
            {"one VM replaced", {{2, 3, 4}, {1, 2, 3}}},
            {"all VMs replaced", {{4, 5, 6}, {1, 2, 3}}},
            {"no list", {}}},
           check_shares);

void homes_are_in_two_zones_of_the_home_region() {
    const schema::MemberList list = make_list({1, 2, 3, 4, 5, 6, 7, 8});
    for (int i = 0; i < 200; ++i) {
        const auto homes = record_homes(list, "fisler", "key-" + std::to_string(i), "ege");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, homes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ege"), homes[0].region());
        CPPUNIT_ASSERT(homes[0].availability_zone() != homes[1].availability_zone());
    }
}

void homes_stay_when_others_change() {
    const schema::MemberList before = make_list({1, 2, 3, 4, 5, 6, 7, 8});
    const schema::MemberList after = make_list({1, 2, 3, 4, 5, 6, 7, 10});
    int moved = 0;
    for (int i = 0; i < 400; ++i) {
        const std::string key = std::to_string(i);
        const auto first = record_homes(before, "w", key, "ege")[0].incarnation();
        moved += first != 8 && first != record_homes(after, "w", key, "ege")[0].incarnation() &&
                         record_homes(after, "w", key, "ege")[0].incarnation() != 10
                     ? 1
                     : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, moved);
}

void unsettled_lists_add_their_homes() {
    schema::Head head;
    *head.add_lists() = make_list({2, 4, 6, 8, 10});
    *head.add_lists() = make_list({12, 14, 16, 18});
    const auto homes = record_homes(head, "w", "k", "ege");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, homes.size());
    CPPUNIT_ASSERT(homes[0].incarnation() > 10);
    CPPUNIT_ASSERT(homes[3].incarnation() <= 10);
}

void records_are_lost_until_retention_ends() {
    schema::Head head;
    *head.add_lists() = make_list({10, 12});
    auto* lost = head.add_lost_homes();
    *lost->mutable_list() = make_list({2, 4, 6, 8});
    lost->add_ended(2);
    lost->add_ended(4);
    lost->set_until_s(1000);
    int lost_keys = 0;
    for (int i = 0; i < 300; ++i) {
        lost_keys += is_record_lost(head, "w", std::to_string(i), "ege", 999) ? 1 : 0;
        CPPUNIT_ASSERT(!is_record_lost(head, "w", std::to_string(i), "ege", 1000));
    }
    CPPUNIT_ASSERT(lost_keys > 0 && lost_keys < 300);
}

void next_list_spreads_over_zones() {
    std::vector<schema::Member> live_members;
    for (std::uint64_t vm = 1; vm <= 40; ++vm) {
        live_members.push_back(make_member(vm));
    }
    const auto list = next_member_list({}, live_members, 8);
    CPPUNIT_ASSERT(list && list->members_size() == 8);
    std::map<std::string, int> zones;
    for (const auto& member : list->members()) {
        ++zones[member.availability_zone()];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, zones.size());
    schema::Head head;
    *head.add_lists() = *list;
    CPPUNIT_ASSERT(!next_member_list(head, live_members, 8));
}

const test_table<scenario> scenarios(
    "members",
    {{"homes are in two zones of the home region", homes_are_in_two_zones_of_the_home_region},
     {"a replaced member does not move other members' records", homes_stay_when_others_change},
     {"homes of all unsettled lists are used, older lists first", unsettled_lists_add_their_homes},
     {"records of lost homes are lost until the retention ends", records_are_lost_until_retention_ends},
     {"the next list is spread over zones", next_list_spreads_over_zones}},
    run_scenario);

} // namespace
} // namespace cassiaspan::test
