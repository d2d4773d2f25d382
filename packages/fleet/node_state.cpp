#include "node_state.h"

#include "digest.h"
#include "members.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// Answers of peers older than this many freshness times are forgotten.
constexpr int peer_memory_factor = 40;

std::uint64_t to_microseconds(nanoseconds age) {
    // Rounded up, so that a proof never looks younger than it is.
    return static_cast<std::uint64_t>(std::chrono::ceil<microseconds>(age).count());
}

peer_knowledge to_knowledge(const schema::PullReply& reply, instant asked) {
    return {reply.self(),
            asked,
            reply.generation(),
            reply.synced(),
            reply.leaving(),
            reply.licensed(),
            reply.relay(),
            reply.handed_over_generation(),
            {reply.target_loads().begin(), reply.target_loads().end()}};
}

} // namespace

node_state::node_state(schema::Member self_in, nanoseconds freshness_in, const clock& clock_in)
    : self_member(std::move(self_in)), freshness(freshness_in), time(clock_in) {
    this->config_freshness.self = this->self_member.incarnation();
}

std::shared_ptr<const generation_view> node_state::current() const {
    const std::scoped_lock lock(this->mutex);
    return this->generation;
}

bool node_state::adopt_generation(const std::shared_ptr<const generation_view>& next) {
    std::vector<std::function<void(const generation_view&)>> informed;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->generation && next->head.generation() <= this->generation->head.generation()) {
            return false;
        }
        this->generation = next;
        adopt_generation(this->config_freshness, next->head.generation());
        informed = this->listeners;
    }
    for (const auto& listener : informed) {
        listener(*next);
    }
    return true;
}

void node_state::on_generation(std::function<void(const generation_view&)> listener) {
    const std::scoped_lock lock(this->mutex);
    this->listeners.push_back(std::move(listener));
}

freshness_status node_state::judge_locked() {
    static const std::vector<incarnation_list> no_lists;
    const auto& lists = this->generation ? this->generation->electorates : no_lists;
    return check_freshness(this->config_freshness, lists, this->freshness, this->time.now());
}

freshness_status node_state::verdict() {
    const std::scoped_lock lock(this->mutex);
    return this->judge_locked();
}

void node_state::note_store(generation_report proof) {
    const std::scoped_lock lock(this->mutex);
    record_store_proof(this->config_freshness, proof);
}

std::optional<nanoseconds> node_state::proof_age() const {
    const std::scoped_lock lock(this->mutex);
    if (!this->config_freshness.store_proof) {
        return std::nullopt;
    }
    return this->time.now() - this->config_freshness.store_proof->asked;
}

bool node_state::is_generation_accepted(const incarnation_list& ended, std::uint64_t wanted) const {
    const std::scoped_lock lock(this->mutex);
    return this->generation &&
           is_held_by_majorities(this->config_freshness, this->generation->electorates, ended, wanted);
}

schema::PullReply node_state::answer_pull(const schema::Pull& pull) {
    const std::scoped_lock lock(this->mutex);
    schema::PullReply reply;
    reply.set_licensed(allows_authenticated_requests(this->judge_locked()));
    *reply.mutable_self() = this->self_member;
    reply.set_synced(this->config_freshness.synced);
    reply.set_leaving(this->leaving);
    reply.set_relay(this->relay);
    reply.set_handed_over_generation(this->handed_over);
    if (this->generation) {
        reply.set_generation(this->generation->head.generation());
        if (this->generation->head.generation() > pull.generation()) {
            *reply.mutable_head() = this->generation->head;
        }
    }
    const instant now = this->time.now();
    if (this->config_freshness.store_proof) {
        reply.set_has_proof(true);
        reply.set_proof_generation(this->config_freshness.store_proof->generation);
        reply.set_proof_age_us(to_microseconds(now - this->config_freshness.store_proof->asked));
    }
    if (!this->known_vms.name.empty()) {
        reply.set_vm_list_name(this->known_vms.name);
        reply.set_vm_list_age_us(to_microseconds(now - this->known_vms.read));
    }
    *reply.mutable_target_loads() = {this->loads.begin(), this->loads.end()};
    return reply;
}

void node_state::note_pull_reply(const schema::PullReply& reply, instant asked) {
    const std::scoped_lock lock(this->mutex);
    if (reply.synced()) {
        record_member_report(this->config_freshness, reply.self().incarnation(), {reply.generation(), asked});
    }
    if (reply.has_proof()) {
        // The proof was that old when the peer answered, which was after the asking: so it is no older than
        // this.
        const microseconds age{static_cast<std::int64_t>(reply.proof_age_us())};
        record_store_proof(this->config_freshness, {reply.proof_generation(), asked - age});
    }
    if (reply.vm_list_name() == this->known_vms.name) {
        const microseconds age{static_cast<std::int64_t>(reply.vm_list_age_us())};
        this->known_vms.read = std::max(this->known_vms.read, asked - age);
    }
    this->known_peers[reply.self().incarnation()] = to_knowledge(reply, asked);
    const instant oldest = this->time.now() - peer_memory_factor * this->freshness;
    std::erase_if(this->known_peers, [oldest](const auto& entry) { return entry.second.asked < oldest; });
    std::erase_if(this->config_freshness.member_reports,
                  [oldest](const auto& entry) { return entry.second.asked < oldest; });
}

std::vector<peer_knowledge> node_state::peers() const {
    const std::scoped_lock lock(this->mutex);
    std::vector<peer_knowledge> list;
    for (const auto& [incarnation, peer] : this->known_peers) {
        list.push_back(peer);
    }
    return list;
}

std::uint64_t node_state::incarnation_at(const std::string& peer_address) const {
    const std::scoped_lock lock(this->mutex);
    const peer_knowledge* newest = nullptr;
    for (const auto& [incarnation, peer] : this->known_peers) {
        if (peer.member.peer_address() == peer_address && (newest == nullptr || newest->asked < peer.asked)) {
            newest = &peer;
        }
    }
    return newest == nullptr ? 0 : newest->member.incarnation();
}

bool node_state::is_replaced(const schema::Member& member) const {
    const std::uint64_t present = this->incarnation_at(member.peer_address());
    return present != 0 && present != member.incarnation() &&
           member.incarnation() != this->self_member.incarnation();
}

void node_state::note_vm_list(const schema::VmList& list, instant read) {
    std::string body = list.SerializeAsString();
    std::string name = sha256_hex(body);
    const std::scoped_lock lock(this->mutex);
    if (this->known_vms.name.empty() || this->known_vms.read < read) {
        this->known_vms = {list, std::move(name), std::move(body), read};
    }
}

vm_list_view node_state::vm_list() const {
    const std::scoped_lock lock(this->mutex);
    return this->known_vms;
}

std::optional<std::string> node_state::find_content(const std::string& name) const {
    const std::scoped_lock lock(this->mutex);
    if (this->generation && this->generation->head.configuration_name() == name) {
        return this->generation->configuration_body;
    }
    if (this->known_vms.name == name) {
        return this->known_vms.body;
    }
    return std::nullopt;
}

void node_state::set_leaving() {
    const std::scoped_lock lock(this->mutex);
    this->leaving = true;
}

bool node_state::is_leaving() const {
    const std::scoped_lock lock(this->mutex);
    return this->leaving;
}

void node_state::set_relay(bool value) {
    const std::scoped_lock lock(this->mutex);
    this->relay = value;
}

bool node_state::is_relay() const {
    const std::scoped_lock lock(this->mutex);
    return this->relay;
}

void node_state::set_handed_over(std::uint64_t lists_generation) {
    const std::scoped_lock lock(this->mutex);
    this->handed_over = std::max(this->handed_over, lists_generation);
}

bool node_state::is_synced() const {
    const std::scoped_lock lock(this->mutex);
    return this->config_freshness.synced;
}

void node_state::set_target_loads(std::vector<schema::TargetLoad> values) {
    const std::scoped_lock lock(this->mutex);
    this->loads = std::move(values);
}

std::vector<vm_candidate> node_state::steerable_vms() {
    const std::scoped_lock lock(this->mutex);
    const bool self_licensed = allows_authenticated_requests(this->judge_locked());
    const instant now = this->time.now();
    std::vector<vm_candidate> vms;
    for (const auto& row : this->known_vms.list.vms()) {
        vm_candidate vm{
            row.name(), row.caller_address(), {row.region(), row.availability_zone()}, row.leaving(), false,
            false};
        if (row.name() == this->self_member.vm()) {
            vm.leaving = vm.leaving || this->leaving;
            vm.licensed = self_licensed;
            vm.reachable = true;
        }
        for (const auto& [incarnation, peer] : this->known_peers) {
            if (peer.member.vm() == row.name() && now - peer.asked < this->freshness) {
                vm.leaving = vm.leaving || peer.leaving;
                vm.licensed = vm.licensed || peer.licensed;
                vm.reachable = true;
            }
        }
        vms.push_back(std::move(vm));
    }
    return vms;
}

std::shared_ptr<const generation_view> make_generation(const schema::Head& head, const std::string& body) {
    schema::Configuration configuration;
    if (sha256_hex(body) != head.configuration_name() || !configuration.ParseFromString(body)) {
        return nullptr;
    }
    auto view = config_snapshot::make(configuration);
    if (!view) {
        return nullptr;
    }
    return std::make_shared<const generation_view>(
        generation_view{head, *view, body, member_incarnations(head)});
}

} // namespace cassiaspan
