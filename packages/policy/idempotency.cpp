#include "idempotency.h"

namespace cassiaspan {

namespace {

record_id id_of(const schema::IdempotencyRecord& record) {
    return {record.workspace(), record.key()};
}

instant expiry_of(const schema::IdempotencyRecord& record, instant now) {
    return now + milliseconds{record.retention_ms()};
}

} // namespace

schema::ClaimReply claim(record_table& table, const schema::IdempotencyRecord& record, instant now) {
    schema::ClaimReply reply;
    const auto found = table.records.find(id_of(record));
    if (found != table.records.end() && found->second.expires_at > now) {
        reply.set_granted(found->second.record.attempt() == record.attempt() && !found->second.record.done());
        if (!reply.granted()) {
            *reply.mutable_existing() = found->second.record;
        }
        return reply;
    }
    if (table.records.size() >= max_idempotency_records) {
        expire_records(table, now);
    }
    if (table.records.size() >= max_idempotency_records) {
        return reply;
    }
    table.records[id_of(record)] = {record, expiry_of(record, now)};
    reply.set_granted(true);
    return reply;
}

bool complete(record_table& table, const schema::IdempotencyRecord& record, instant now) {
    stored_record& stored = table.records[id_of(record)];
    if (stored.record.attempt() != 0 && stored.record.attempt() != record.attempt()) {
        return false;
    }
    stored = {record, expiry_of(record, now)};
    return true;
}

bool release(record_table& table, const schema::IdempotencyRecord& record) {
    const auto found = table.records.find(id_of(record));
    if (found == table.records.end() || found->second.record.attempt() != record.attempt() ||
        found->second.record.done()) {
        return false;
    }
    table.records.erase(found);
    return true;
}

void import_records(record_table& table, const schema::Handover& handover, instant now) {
    for (const auto& record : handover.records()) {
        const auto found = table.records.find(id_of(record));
        const bool replaces =
            found == table.records.end() || (record.done() && !found->second.record.done() &&
                                             found->second.record.attempt() == record.attempt());
        if (replaces) {
            table.records[id_of(record)] = {record, expiry_of(record, now)};
        }
    }
}

std::vector<schema::IdempotencyRecord>
export_records(const record_table& table,
               const std::function<bool(const schema::IdempotencyRecord&)>& is_selected, instant now) {
    std::vector<schema::IdempotencyRecord> records;
    for (const auto& [id, stored] : table.records) {
        if (stored.expires_at > now && is_selected(stored.record)) {
            records.push_back(stored.record);
            const auto remaining = std::chrono::duration_cast<milliseconds>(stored.expires_at - now);
            records.back().set_retention_ms(static_cast<std::uint64_t>(remaining.count()));
        }
    }
    return records;
}

void expire_records(record_table& table, instant now) {
    std::erase_if(table.records, [now](const auto& entry) { return entry.second.expires_at <= now; });
}

} // namespace cassiaspan
