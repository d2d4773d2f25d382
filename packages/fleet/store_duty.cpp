#include "store_duty.h"

#include "head_change.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr milliseconds member_poll{100};
// A VM without a proof asks the store itself at most this often.
constexpr milliseconds direct_interval{1000};
// How long a region's relay may be silent before another VM tries for its lease.
constexpr milliseconds relay_silence{5000};

} // namespace

store_duty::store_duty(store_duty_options options_in, store_client& store_in, node_state& node_in,
                       members_duty& members_in, const clock& clock_in, event_handler on_event_in)
    : options(options_in), store(store_in), node(node_in), members(members_in), time(clock_in),
      on_event(std::move(on_event_in)), lease_owner(std::to_string(node_in.self().incarnation())) {}

store_duty::~store_duty() {
    this->stop();
}

void store_duty::stop() {
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void store_duty::start() {
    this->thread = std::thread([this] { this->run(); });
}

void store_duty::sleep(nanoseconds time_out) {
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, time_out, [this] { return this->stopping; });
}

void store_duty::run() {
    while (true) {
        {
            const std::scoped_lock lock(this->mutex);
            if (this->stopping) {
                break;
            }
        }
        const milliseconds pause = this->store.pause();
        if (pause > milliseconds{0}) {
            this->sleep(pause);
        }
        if (this->relay) {
            this->work_as_relay();
        } else {
            this->work_as_member();
        }
    }
    if (this->relay) {
        this->store.release_lease("relay/" + this->node.self().region(), this->lease_owner);
    }
    if (this->holds_members) {
        this->store.release_lease("duty/members", this->lease_owner);
    }
}

void store_duty::note_failure(const std::string& call) {
    this->on_event(store_event::call_failed, call);
}

bool store_duty::needs_proof() const {
    const auto age = this->node.proof_age();
    return !age || *age > this->options.freshness * 2 / 3;
}

bool store_duty::region_has_relay() const {
    const instant now = this->time.now();
    const auto peers = this->node.peers();
    return std::any_of(peers.begin(), peers.end(), [&](const peer_knowledge& peer) {
        return peer.relay && !peer.leaving && peer.member.region() == this->node.self().region() &&
               now - peer.asked < relay_silence;
    });
}

void store_duty::hold_relay_lease() {
    const instant now = this->time.now();
    if (now - this->relay_checked < this->options.lease_ttl / 2) {
        return;
    }
    this->relay_checked = now;
    const auto held = this->store.take_lease("relay/" + this->node.self().region(), this->lease_owner,
                                             this->options.lease_ttl);
    if (!held) {
        this->note_failure("lease of the relay");
        return;
    }
    if (*held != this->relay) {
        this->relay = *held;
        this->node.set_relay(*held);
        this->on_event(*held ? store_event::relay_taken : store_event::relay_lost,
                       this->node.self().region());
    }
}

void store_duty::hold_members_lease() {
    const instant now = this->time.now();
    if (now - this->members_checked < this->options.lease_ttl / 2) {
        return;
    }
    this->members_checked = now;
    const auto held = this->store.take_lease("duty/members", this->lease_owner, this->options.lease_ttl);
    const bool holds = held && *held;
    if (holds && !this->holds_members) {
        this->members.reset();
    }
    this->holds_members = holds;
}

void store_duty::work_as_relay() {
    if (this->node.is_leaving()) {
        this->store.release_lease("relay/" + this->node.self().region(), this->lease_owner);
        this->store.release_lease("duty/members", this->lease_owner);
        this->relay = false;
        this->holds_members = false;
        this->node.set_relay(false);
        return;
    }
    this->hold_relay_lease();
    this->hold_members_lease();
    this->read_vm_list();
    this->watch_head();
    if (this->holds_members) {
        this->step_members();
    }
}

void store_duty::work_as_member() {
    if (this->node.vm_list().name.empty()) {
        this->read_vm_list();
    }
    // Another region's relay will do as long as its proofs come in time: a try costs a call.
    if (!this->node.is_leaving() && this->needs_proof() && !this->region_has_relay()) {
        this->hold_relay_lease();
    }
    if (!this->relay && this->needs_proof() && this->time.now() - this->direct_checked > direct_interval) {
        this->direct_checked = this->time.now();
        this->read_head();
    }
    if (!this->relay) {
        this->sleep(member_poll);
    }
}

void store_duty::read_head() {
    const instant asked = this->time.now();
    const auto stored = this->store.get(head_key);
    if (!stored) {
        this->note_failure("read of the head");
        return;
    }
    this->take_head(*stored, asked);
}

void store_duty::watch_head() {
    const instant asked = this->time.now();
    const auto stored = this->store.watch(head_key, this->head_revision, this->options.watch_wait);
    if (!stored) {
        this->note_failure("watch of the head");
        return;
    }
    this->take_head(*stored, asked);
}

void store_duty::take_head(const stored_value& stored, instant asked) {
    schema::Head head;
    if (stored.revision == 0 || !head.ParseFromString(stored.value)) {
        return;
    }
    this->head_revision = stored.revision;
    this->head_generation = head.generation();
    this->node.note_store({head.generation(), asked});
    const auto present = this->node.current();
    if (!present || head.generation() > present->head.generation()) {
        this->adopt(head);
    }
}

void store_duty::adopt(const schema::Head& head) {
    const auto present = this->node.current();
    std::string body;
    if (present && present->head.configuration_name() == head.configuration_name()) {
        body = present->configuration_body;
    } else {
        const auto stored = this->store.get(configuration_key_prefix + head.configuration_name());
        if (!stored) {
            this->note_failure("read of a configuration");
            return;
        }
        body = stored->value;
    }
    const auto next = make_generation(head, body);
    if (!next) {
        this->on_event(store_event::configuration_invalid, head.configuration_name());
        return;
    }
    this->node.adopt_generation(next);
}

void store_duty::read_vm_list() {
    const instant now = this->time.now();
    if (now - this->vm_list_checked < this->options.vm_list_interval) {
        return;
    }
    this->vm_list_checked = now;
    const auto list = this->store.list_vms();
    if (!list) {
        this->note_failure("read of the list of VMs");
        return;
    }
    this->node.note_vm_list(*list, now);
}

void store_duty::step_members() {
    const auto head = this->members.next_head(this->handed_over.load());
    // A change is made of what stands at the revision that the write expects, or not at all.
    if (!head || head->generation() != this->head_generation + 1) {
        return;
    }
    const auto outcome =
        this->store.compare_and_swap(head_key, head->SerializeAsString(), this->head_revision);
    if (!outcome) {
        // Whether it was written shows at the next watch.
        this->note_failure("write of the head");
    } else if (*outcome == cas_outcome::written) {
        this->on_event(store_event::members_changed, head->history(head->history_size() - 1).summary());
        this->adopt(*head);
    }
}

} // namespace cassiaspan
