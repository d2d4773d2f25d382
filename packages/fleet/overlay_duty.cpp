#include "overlay_duty.h"

#include "address.h"
#include "digest.h"

#include <algorithm>

namespace cassiaspan {

namespace {

constexpr milliseconds tick{100};
// Peers that do not bring the proofs are pulled from this much more seldom.
constexpr int slow_factor = 4;

} // namespace

overlay_duty::overlay_duty(overlay_options options_in, node_state& node_in, peer_caller& peers_in,
                           const clock& clock_in)
    : options(options_in), node(node_in), peers(peers_in), time(clock_in) {
    this->node.on_generation([this](const generation_view& generation) {
        this->post(generation_adopted{generation.head.generation()});
    });
}

overlay_duty::~overlay_duty() {
    this->stop();
}

void overlay_duty::stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void overlay_duty::start() {
    this->thread = std::thread([this] { this->run(); });
}

void overlay_duty::note_newer(const std::string& peer_address) {
    this->post(pull_wanted{peer_address});
}

// A full ring loses nothing for good: the next pull tells the same.
void overlay_duty::post(event item) {
    static_cast<void>(this->events.push(std::move(item)));
}

void overlay_duty::run() {
    instant next_tick = this->time.now();
    while (!this->stopping) {
        if (auto item = this->events.pop(tick / 2)) {
            std::visit([this](auto& value) { this->handle(value); }, *item);
        }
        if (this->time.now() >= next_tick) {
            next_tick = this->time.now() + tick;
            this->pull_due_peers();
            if (this->tick_action) {
                this->tick_action();
            }
        }
    }
}

std::vector<std::string> overlay_duty::peer_addresses() const {
    std::vector<std::string> addresses;
    const vm_list_view vms = this->node.vm_list();
    for (const auto& vm : choose_overlay_peers(vms.list, this->node.self(), this->options.degree)) {
        addresses.push_back(vm.peer_address());
    }
    // Without a fresh proof the VM also pulls from all members, because reports from a majority of them are a
    // proof.
    const auto generation = this->node.current();
    if (generation && this->lacks_proof()) {
        for (const auto& list : generation->head.lists()) {
            for (const auto& member : list.members()) {
                addresses.push_back(member.peer_address());
            }
        }
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, this->node.self().peer_address());
    return addresses;
}

bool overlay_duty::lacks_proof() const {
    const auto age = this->node.proof_age();
    return !age || *age > this->options.freshness / 2;
}

std::string overlay_duty::freshest_peer() const {
    const auto newest = std::max_element(this->peer_proofs.begin(), this->peer_proofs.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return newest == this->peer_proofs.end() ? "" : newest->first;
}

void overlay_duty::pull_due_peers() {
    const instant now = this->time.now();
    const bool hurry = this->lacks_proof();
    const std::string freshest = this->freshest_peer();
    for (const std::string& address : this->peer_addresses()) {
        // One peer brings the proofs; the others are asked often enough to know that they live.
        const milliseconds interval = hurry || address == freshest
                                          ? this->options.pull_interval
                                          : slow_factor * this->options.pull_interval;
        const auto last = this->last_pulls.find(address);
        if (last == this->last_pulls.end() || now - last->second >= interval - tick / 2) {
            this->pull(address);
        }
    }
}

void overlay_duty::pull(const std::string& peer_address) {
    const auto address = parse_address(peer_address);
    if (!address || this->pulling[peer_address]) {
        return;
    }
    const instant asked = this->time.now();
    this->last_pulls[peer_address] = asked;
    this->pulling[peer_address] = true;
    schema::PeerRequest request;
    const auto generation = this->node.current();
    request.mutable_pull()->set_generation(generation ? generation->head.generation() : 0);
    this->peers.call(*address, 0, std::move(request), [this, peer_address, asked](const peer_result& result) {
        if (result && result->has_pull()) {
            this->post(pull_done{peer_address, asked, result->pull()});
        } else {
            this->post(call_failed{peer_address});
        }
    });
}

void overlay_duty::handle(pull_done& done) {
    this->pulling[done.peer_address] = false;
    this->node.note_pull_reply(done.reply, done.asked);
    if (done.reply.has_proof()) {
        this->peer_proofs[done.peer_address] =
            done.asked - microseconds{static_cast<std::int64_t>(done.reply.proof_age_us())};
    }

    const std::uint64_t incarnation = done.reply.self().incarnation();
    const auto present = this->node.current();
    if (done.reply.has_head() && (!present || done.reply.head().generation() > present->head.generation())) {
        if (present && present->head.configuration_name() == done.reply.head().configuration_name()) {
            if (const auto next = make_generation(done.reply.head(), present->configuration_body)) {
                this->node.adopt_generation(next);
            }
        } else {
            this->fetch(done.peer_address, incarnation, done.reply.head().configuration_name(),
                        done.reply.head(), {});
        }
    }
    const instant read = done.asked - microseconds{static_cast<std::int64_t>(done.reply.vm_list_age_us())};
    const vm_list_view known = this->node.vm_list();
    if (!done.reply.vm_list_name().empty() && done.reply.vm_list_name() != known.name &&
        (known.name.empty() || read > known.read)) {
        this->fetch(done.peer_address, incarnation, done.reply.vm_list_name(), {}, read);
    }
}

void overlay_duty::fetch(const std::string& peer_address, std::uint64_t incarnation, const std::string& name,
                         const schema::Head& head, instant read) {
    const auto address = parse_address(peer_address);
    if (!address) {
        return;
    }
    schema::PeerRequest request;
    request.mutable_fetch()->set_name(name);
    this->peers.call(*address, incarnation, std::move(request),
                     [this, head, name, read](const peer_result& result) {
                         if (result && result->fetch().found()) {
                             this->post(fetch_done{head, name, read, result->fetch().value()});
                         }
                     });
}

void overlay_duty::handle(fetch_done& done) {
    if (sha256_hex(done.value) != done.name) {
        return;
    }
    if (done.head.generation() > 0) {
        if (const auto next = make_generation(done.head, done.value)) {
            this->node.adopt_generation(next);
        }
        return;
    }
    schema::VmList list;
    if (list.ParseFromString(done.value)) {
        this->node.note_vm_list(list, done.read);
    }
}

void overlay_duty::handle(pull_wanted& wanted) {
    this->pull(wanted.peer_address);
}

void overlay_duty::handle(call_failed& failed) {
    this->pulling[failed.peer_address] = false;
}

void overlay_duty::handle(generation_adopted& adopted) {
    for (const std::string& peer_address : this->peer_addresses()) {
        const auto address = parse_address(peer_address);
        const std::uint64_t incarnation = this->node.incarnation_at(peer_address);
        if (address && incarnation != 0) {
            schema::PeerRequest request;
            request.mutable_notify()->set_generation(adopted.generation);
            this->peers.call(*address, incarnation, std::move(request), [](const peer_result& /*result*/) {});
        }
    }
}

} // namespace cassiaspan
