// Idempotency records stored at one home VM. At most one attempt holds the claim on a key until the retention
// time of its record is over. Homes are defined in members.h.
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

// Maximum number of records that one VM stores.
constexpr std::size_t max_idempotency_records = 200'000;

// Identifies a record: the workspace and the caller's idempotency key.
struct record_id {
    std::string workspace;
    std::string key;
    auto operator<=>(const record_id&) const = default;
};

// A stored record and the time at which its retention ends.
struct stored_record {
    schema::IdempotencyRecord record;
    instant expires_at;
};

// The records stored at one home.
struct record_table {
    std::map<record_id, stored_record> records;
};

// Claims the key for the attempt of `record`. The claim is granted if there is no unexpired record of another
// attempt and the attempt is not finished, so a repeated claim of an unfinished attempt is granted again. If
// not granted, the reply has the existing record, or none if the table is full.
[[nodiscard]] schema::ClaimReply claim(record_table& table, const schema::IdempotencyRecord& record,
                                       instant now);

// Stores the outcome of an attempt and restarts the retention time. Returns false, and stores nothing, if
// another attempt holds the claim.
bool complete(record_table& table, const schema::IdempotencyRecord& record, instant now);

// Removes the claim of an attempt that is known not to have been executed. Returns false, and removes
// nothing, if there is no record, if another attempt holds the claim, or if the attempt is finished.
bool release(record_table& table, const schema::IdempotencyRecord& record);

// Imports records from another home. Existing records are kept, but a finished record replaces an unfinished
// one of the same attempt.
void import_records(record_table& table, const schema::Handover& handover, instant now);

// Returns the unexpired records for which `is_selected` is true. Their retention is set to the remaining
// time.
[[nodiscard]] std::vector<schema::IdempotencyRecord>
export_records(const record_table& table,
               const std::function<bool(const schema::IdempotencyRecord&)>& is_selected, instant now);

// Removes records whose retention time is over.
void expire_records(record_table& table, instant now);

} // namespace cassiaspan
