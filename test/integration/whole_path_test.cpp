// One request's whole way, through processes of their own.

#include "refusals.h"
#include "table_test.h"
#include "test_fleet.h"

namespace cassiaspan::test {
namespace {

void caller_looks_up_and_is_served() {
    test_fleet fleet({});
    fleet.start_all();
    const auto steer = fleet.call(0, {"GET", "/v1/steer?service=work", "", "", {}, milliseconds{5000}});
    CPPUNIT_ASSERT(steer && steer->status == 200);
    schema::SteerAnswer answer;
    CPPUNIT_ASSERT(google::protobuf::util::JsonStringToMessage(steer->body, &answer).ok());
    CPPUNIT_ASSERT_EQUAL(3, answer.vms_size());
    CPPUNIT_ASSERT(answer.expires_in_ms() > 0);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        CPPUNIT_ASSERT_EQUAL(std::string("200"), outcome_of(fleet.call(vm, {})));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("missing-key/not-run"),
                         outcome_of(fleet.call(0, {"GET", "/work/x", "", "", {}, milliseconds{5000}})));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown-key/not-run"),
                         outcome_of(fleet.call(0, {"GET", "/work/x", "wrong", "", {}, milliseconds{5000}})));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.runs().size());
}

const test_table<scenario> scenarios("whole_path",
                                     {{"a caller looks up and is served", caller_looks_up_and_is_served}},
                                     run_scenario);

} // namespace
} // namespace cassiaspan::test
