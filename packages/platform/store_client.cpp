#include "store_client.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{10'000};
constexpr int http_ok = 200;

store_failure to_failure(http_failure failure) {
    return failure == http_failure::connecting ? store_failure::unreachable : store_failure::ambiguous;
}

} // namespace

store_client::store_client(const store_options& options_in, watchdog& guard_in, const clock& clock_in)
    : options(options_in), guard(guard_in), time(clock_in), store_pool(options_in.store),
      vm_list_pool(options_in.vm_list), random(options_in.seed) {}

bool store_client::take_call() {
    const std::scoped_lock lock(this->mutex);
    const instant now = this->time.now();
    if (now - this->second_started >= seconds{1}) {
        this->second_started = now;
        this->calls_in_second = 0;
    }
    return this->calls_in_second++ < this->options.calls_per_second;
}

void store_client::note_result(bool success) {
    const std::scoped_lock lock(this->mutex);
    this->failures_in_row = success ? 0 : this->failures_in_row + 1;
}

milliseconds store_client::pause() {
    const std::scoped_lock lock(this->mutex);
    if (this->failures_in_row == 0) {
        return milliseconds{0};
    }
    const int doublings = std::min(this->failures_in_row - 1, 10);
    const milliseconds longest = std::min(longest_pause, first_pause * (1 << doublings));
    // Full jitter: VMs that failed together do not come back together.
    std::uniform_int_distribution<std::int64_t> draw(longest.count() / 4, longest.count());
    return milliseconds{draw(this->random)};
}

tl::expected<std::string, store_failure> store_client::send(connection_pool& pool, const http_call& call) {
    if (!this->take_call()) {
        return tl::make_unexpected(store_failure::over_budget);
    }
    ++this->call_count;
    auto answer = exchange(pool, this->guard, call, this->time);
    const bool success = answer && answer->status == http_ok;
    this->note_result(success);
    if (!answer) {
        return tl::make_unexpected(to_failure(answer.error()));
    }
    if (!success) {
        return tl::make_unexpected(store_failure::ambiguous);
    }
    return std::move(answer->body);
}

tl::expected<schema::StoreReply, store_failure> store_client::call_store(const schema::StoreRequest& request,
                                                                         milliseconds timeout) {
    auto body =
        this->send(this->store_pool,
                   {"POST", "/v1/kv", "application/x-protobuf", request.SerializeAsString(), timeout, {}});
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    schema::StoreReply reply;
    if (!reply.ParseFromString(*body)) {
        return tl::make_unexpected(store_failure::ambiguous);
    }
    return reply;
}

tl::expected<stored_value, store_failure> store_client::get(const std::string& key) {
    schema::StoreRequest request;
    request.mutable_get()->set_key(key);
    return this->call_store(request, this->options.timeout).map([](const schema::StoreReply& reply) {
        return stored_value{reply.revision(), reply.value()};
    });
}

tl::expected<cas_outcome, store_failure> store_client::compare_and_swap(const std::string& key,
                                                                        const std::string& value,
                                                                        std::uint64_t expected_revision) {
    schema::StoreRequest request;
    request.mutable_cas()->set_key(key);
    request.mutable_cas()->set_value(value);
    request.mutable_cas()->set_expected_revision(expected_revision);
    return this->call_store(request, this->options.timeout).map([](const schema::StoreReply& reply) {
        return reply.status() == schema::StoreReply::STATUS_OK ? cas_outcome::written : cas_outcome::lost;
    });
}

tl::expected<stored_value, store_failure> store_client::watch(const std::string& key, std::uint64_t revision,
                                                              milliseconds wait) {
    schema::StoreRequest request;
    request.mutable_watch()->set_key(key);
    request.mutable_watch()->set_after_revision(revision);
    request.mutable_watch()->set_wait_ms(static_cast<std::uint32_t>(wait.count()));
    return this->call_store(request, this->options.timeout + wait).map([](const schema::StoreReply& reply) {
        return stored_value{reply.revision(), reply.value()};
    });
}

tl::expected<bool, store_failure> store_client::take_lease(const std::string& name, const std::string& owner,
                                                           milliseconds time_to_live) {
    schema::StoreRequest request;
    request.mutable_lease()->set_name(name);
    request.mutable_lease()->set_owner(owner);
    request.mutable_lease()->set_ttl_ms(static_cast<std::uint32_t>(time_to_live.count()));
    return this->call_store(request, this->options.timeout).map([&](const schema::StoreReply& reply) {
        return reply.status() == schema::StoreReply::STATUS_OK && reply.lease_owner() == owner;
    });
}

void store_client::release_lease(const std::string& name, const std::string& owner) {
    schema::StoreRequest request;
    request.mutable_lease()->set_name(name);
    request.mutable_lease()->set_owner(owner);
    request.mutable_lease()->set_release(true);
    // A lost answer does no harm: the lease lapses by itself.
    static_cast<void>(this->call_store(request, this->options.timeout));
}

tl::expected<schema::VmList, store_failure> store_client::list_vms() {
    auto body = this->send(this->vm_list_pool,
                           {"GET", "/v1/vms", "application/x-protobuf", "", this->options.timeout, {}});
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    schema::VmList list;
    if (!list.ParseFromString(*body)) {
        return tl::make_unexpected(store_failure::ambiguous);
    }
    return list;
}

} // namespace cassiaspan
