// Tests claims, completion, retention and handover of idempotency records at one home.

#include "idempotency.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

const instant start{seconds{100}};

schema::IdempotencyRecord make_record(std::uint64_t attempt, const std::string& key = "k") {
    schema::IdempotencyRecord record;
    record.set_workspace("w");
    record.set_key(key);
    record.set_attempt(attempt);
    record.set_retention_ms(1000);
    return record;
}

void first_claim_wins() {
    record_table table;
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    const auto second = claim(table, make_record(2), start);
    CPPUNIT_ASSERT(!second.granted());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, std::uint64_t{second.existing().attempt()});
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    CPPUNIT_ASSERT(claim(table, make_record(2, "other"), start).granted());
}

void completed_outcome_is_replayed() {
    record_table table;
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    auto outcome = make_record(1);
    outcome.set_done(true);
    outcome.set_status(200);
    CPPUNIT_ASSERT(complete(table, outcome, start));
    CPPUNIT_ASSERT_EQUAL(200U, claim(table, make_record(2), start).existing().status());
    // A duplicate claim of the finished attempt must not execute it again.
    CPPUNIT_ASSERT(!claim(table, make_record(1), start).granted());
}

void other_attempt_cannot_complete() {
    record_table table;
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    CPPUNIT_ASSERT(!complete(table, make_record(2), start));
    CPPUNIT_ASSERT(!release(table, make_record(2)));
}

void release_frees_the_key() {
    record_table table;
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    CPPUNIT_ASSERT(release(table, make_record(1)));
    CPPUNIT_ASSERT(claim(table, make_record(2), start).granted());
}

void finished_record_cannot_be_released() {
    record_table table;
    auto outcome = make_record(1);
    outcome.set_done(true);
    CPPUNIT_ASSERT(complete(table, outcome, start));
    CPPUNIT_ASSERT(!release(table, make_record(1)));
}

void record_expires_after_retention() {
    record_table table;
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    CPPUNIT_ASSERT(!claim(table, make_record(2), start + milliseconds{999}).granted());
    CPPUNIT_ASSERT(claim(table, make_record(2), start + milliseconds{1000}).granted());
}

void handover_keeps_existing_records() {
    record_table table;
    CPPUNIT_ASSERT(claim(table, make_record(1), start).granted());
    schema::Handover handover;
    *handover.add_records() = make_record(2);
    *handover.add_records() = make_record(3, "moved");
    import_records(table, handover, start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::uint64_t{claim(table, make_record(9), start).existing().attempt()});
    CPPUNIT_ASSERT(!claim(table, make_record(9, "moved"), start).granted());
    // An exported record has the remaining retention time.
    const auto exported = export_records(
        table, [](const auto& record) { return record.key() == "moved"; }, start + milliseconds{400});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, exported.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{600}, exported[0].retention_ms());
}

const test_table<scenario>
    scenarios("idempotency",
              {{"the first claim wins", first_claim_wins},
               {"a completed outcome is replayed", completed_outcome_is_replayed},
               {"another attempt cannot complete", other_attempt_cannot_complete},
               {"release frees the key", release_frees_the_key},
               {"a finished record cannot be released", finished_record_cannot_be_released},
               {"a record expires after its retention time", record_expires_after_retention},
               {"a handover keeps existing records", handover_keeps_existing_records}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
