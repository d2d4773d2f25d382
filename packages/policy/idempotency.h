// Idempotency records at one home: at most one attempt owns a key until the retention time is over.
#pragma once

#include "clock.h"
#include "peer.pb.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cassiaspan {

// Records one VM keeps at the most.
constexpr std::size_t max_idempotency_records = 200'000;

// Names a record: workspace and the key that its caller chose.
struct record_id {
    std::string workspace;
    std::string key;
    auto operator<=>(const record_id&) const = default;
};

// A kept record and when it may be forgotten.
struct stored_record {
    schema::IdempotencyRecord record;
    instant expires_at;
};

// The records of one home.
struct record_table {
    std::map<record_id, stored_record> records;
};

// Claims the record for its attempt. A claim repeated by the same attempt is granted again.
[[nodiscard]] schema::ClaimReply claim(record_table& table, const schema::IdempotencyRecord& record,
                                       instant now);

// Stores the outcome of an attempt. Returns false when another attempt owns the record.
bool complete(record_table& table, const schema::IdempotencyRecord& record, instant now);

// Forgets the claim of an attempt that was certainly not run.
bool release(record_table& table, const schema::IdempotencyRecord& record);

// Takes in records of another home; a finished record replaces an unfinished one of the same attempt.
void import_records(record_table& table, const schema::Handover& handover, instant now);

// Returns the records that `wanted` picks, with the retention that is left to them.
[[nodiscard]] std::vector<schema::IdempotencyRecord>
export_records(const record_table& table,
               const std::function<bool(const schema::IdempotencyRecord&)>& is_selected, instant now);

// Forgets records whose retention is over.
void expire_records(record_table& table, instant now);

} // namespace cassiaspan
