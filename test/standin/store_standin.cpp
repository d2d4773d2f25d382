#include "store_standin.h"

#include "http_answers.h"

#include <civetweb.h>
#include <thread>

namespace cassiaspan::standin {

int store_standin::serve(mg_connection* connection, const mg_request_info& info) {
    const std::string path = info.local_uri;
    if (path == "/control") {
        return this->serve_control(connection, info);
    }
    return path == "/v1/kv" ? this->serve_call(connection) : answer(connection, 404, "");
}

int store_standin::serve_control(mg_connection* connection, const mg_request_info& info) {
    const std::scoped_lock lock(this->mutex);
    if (const std::string down = query_value(info, "down"); !down.empty()) {
        this->faults.down = down == "1";
    }
    if (const std::string delay = query_value(info, "delay_ms"); !delay.empty()) {
        this->faults.delay = milliseconds{std::stoi(delay)};
    }
    if (const std::string lose = query_value(info, "lose_write_answers"); !lose.empty()) {
        this->faults.lose_write_answers = lose == "1";
    }
    this->changed.notify_all();
    return answer(connection, 200, std::to_string(this->calls));
}

int store_standin::serve_call(mg_connection* connection) {
    schema::StoreRequest request;
    if (!request.ParseFromString(read_body(connection))) {
        return answer(connection, 400, "");
    }
    store_faults present;
    {
        const std::scoped_lock lock(this->mutex);
        ++this->calls;
        present = this->faults;
    }
    std::this_thread::sleep_for(present.delay);
    if (present.down) {
        return answer(connection, 500, "");
    }
    const schema::StoreReply reply = this->handle(request);
    if (present.lose_write_answers && request.has_cas()) {
        return answer(connection, 500, "");
    }
    return answer(connection, 200, reply.SerializeAsString());
}

schema::StoreReply store_standin::read(const std::string& key) const {
    schema::StoreReply reply;
    const auto found = this->values.find(key);
    if (found == this->values.end()) {
        reply.set_status(schema::StoreReply::STATUS_NOT_FOUND);
        return reply;
    }
    reply.set_status(schema::StoreReply::STATUS_OK);
    reply.set_revision(found->second.revision);
    reply.set_value(found->second.value);
    return reply;
}

schema::StoreReply store_standin::handle(const schema::StoreRequest& request) {
    std::unique_lock lock(this->mutex);
    switch (request.operation_case()) {
    case schema::StoreRequest::kGet:
        return this->read(request.get().key());
    case schema::StoreRequest::kCas:
        return this->handle_cas(request.cas());
    case schema::StoreRequest::kWatch:
        return this->handle_watch(lock, request.watch());
    case schema::StoreRequest::kLease:
        return this->handle_lease(request.lease());
    case schema::StoreRequest::OPERATION_NOT_SET:
        break;
    }
    return {};
}

schema::StoreReply store_standin::handle_cas(const schema::StoreCas& cas) {
    constexpr std::size_t max_value_bytes = 1U << 20U;
    stored& entry = this->values[cas.key()];
    schema::StoreReply reply;
    if (entry.revision != cas.expected_revision() || cas.value().size() > max_value_bytes) {
        reply.set_status(schema::StoreReply::STATUS_CONFLICT);
        return reply;
    }
    entry = {cas.value(), ++this->revision};
    this->changed.notify_all();
    reply.set_status(schema::StoreReply::STATUS_OK);
    reply.set_revision(entry.revision);
    return reply;
}

schema::StoreReply store_standin::handle_watch(std::unique_lock<std::mutex>& lock,
                                               const schema::StoreWatch& watch) {
    this->changed.wait_for(lock, milliseconds{watch.wait_ms()}, [&] {
        const auto found = this->values.find(watch.key());
        return this->faults.down ||
               (found != this->values.end() && found->second.revision > watch.after_revision());
    });
    return this->read(watch.key());
}

schema::StoreReply store_standin::handle_lease(const schema::StoreLease& request) {
    const instant now = this->time.now();
    lease& entry = this->leases[request.name()];
    schema::StoreReply reply;
    const bool free = entry.owner.empty() || entry.until <= now || entry.owner == request.owner();
    if (free) {
        entry = request.release() ? lease{} : lease{request.owner(), now + milliseconds{request.ttl_ms()}};
    }
    reply.set_status(free ? schema::StoreReply::STATUS_OK : schema::StoreReply::STATUS_CONFLICT);
    reply.set_lease_owner(entry.owner);
    return reply;
}

} // namespace cassiaspan::standin
