#include "target_registry.h"

#include <algorithm>

namespace cassiaspan {

namespace {

// A waiting request looks again after this time, since reports of peers may have freed a slot.
constexpr milliseconds slot_poll{20};

std::optional<std::size_t> index_of(const service_config& view, const std::string& target) {
    const auto found = std::find_if(view.targets.begin(), view.targets.end(),
                                    [&](const target_config& candidate) { return candidate.name == target; });
    return found == view.targets.end()
               ? std::nullopt
               : std::optional(static_cast<std::size_t>(found - view.targets.begin()));
}

} // namespace

target_registry::target_registry(location here_in, queue_limits limits_in, std::uint64_t seed,
                                 const clock& clock_in)
    : here(std::move(here_in)), limits(limits_in), time(clock_in), random(seed) {}

void target_registry::apply(const generation_view& generation) {
    const std::scoped_lock lock(this->mutex);
    const bool first = this->services.empty();
    std::map<std::string, service_state> next;
    for (const service_config& view : generation.configuration->services()) {
        service_state state;
        state.configuration = generation.configuration;
        state.view = &view;
        const auto former = this->services.find(view.name);
        if (former != this->services.end()) {
            state.queue = former->second.queue;
        }
        state.queue.max_waiting_per_workspace = this->limits.length_per_workspace;
        for (const target_config& target : view.targets) {
            const auto index =
                former == this->services.end() ? std::nullopt : index_of(*former->second.view, target.name);
            if (index && former->second.view->targets[*index].address == target.address) {
                state.targets.push_back(former->second.targets[*index]);
                state.pools.push_back(former->second.pools[*index]);
                continue;
            }
            target_state fresh;
            // When the VM itself has just started, its targets have not.
            fresh.slow_start_from = first ? this->time.now() - slow_start_duration : this->time.now();
            state.targets.push_back(fresh);
            state.pools.push_back(
                std::make_shared<connection_pool>(parse_address(target.address).value_or(socket_address{})));
        }
        next[view.name] = std::move(state);
    }
    this->services = std::move(next);
    this->freed.notify_all();
}

void target_registry::note_peers(const std::vector<peer_knowledge>& peers) {
    std::map<std::string, std::pair<std::size_t, instant>> sums;
    const instant now = this->time.now();
    for (const peer_knowledge& peer : peers) {
        if (now - peer.asked >= load_report_lifetime) {
            continue;
        }
        for (const auto& load : peer.target_loads) {
            auto& [sum, asked] = sums[load.target()];
            sum += load.in_flight();
            asked = std::max(asked, peer.asked);
        }
    }
    const std::scoped_lock lock(this->mutex);
    for (auto& [name, service] : this->services) {
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            const auto found = sums.find(service.view->targets[i].name);
            service.targets[i].peers_in_flight = found == sums.end() ? 0 : found->second.first;
            service.targets[i].peers_reported_at = found == sums.end() ? now : found->second.second;
        }
    }
}

std::vector<std::size_t> target_registry::indices_of(const service_state& service,
                                                     const std::vector<std::string>& names) {
    std::vector<std::size_t> indices;
    for (const std::string& name : names) {
        if (const auto index = index_of(*service.view, name)) {
            indices.push_back(*index);
        }
    }
    return indices;
}

target_choice target_registry::choose(const service_state& service, const slot_request& request) {
    const std::vector<std::size_t> tried = indices_of(service, request.tried);
    return choose_target({*service.view, service.targets, this->here, this->time.now(),
                          std::chrono::system_clock::now(), tried},
                         this->random);
}

target_slot target_registry::take(service_state& service, std::size_t index, const std::string& name) const {
    ++service.targets[index].in_flight;
    const target_config& target = service.view->targets[index];
    return {name, target.name, target.address, service.pools[index]};
}

tl::expected<target_slot, slot_refusal> target_registry::acquire(const slot_request& request) {
    std::unique_lock lock(this->mutex);
    const auto found = this->services.find(request.service);
    if (found == this->services.end()) {
        return tl::make_unexpected(slot_refusal::none_available);
    }
    if (found->second.queue.waiting.empty()) {
        const target_choice choice = this->choose(found->second, request);
        if (choice.index) {
            return this->take(found->second, *choice.index, request.service);
        }
        if (choice.reason == no_target_reason::none_available) {
            return tl::make_unexpected(slot_refusal::none_available);
        }
    }
    return this->wait_for_slot(lock, request);
}

tl::expected<target_slot, slot_refusal> target_registry::wait_for_slot(std::unique_lock<std::mutex>& lock,
                                                                       const slot_request& request) {
    const auto ticket = enqueue(this->services[request.service].queue, request.workspace, request.weight);
    if (!ticket) {
        return tl::make_unexpected(slot_refusal::queue_full);
    }
    const instant deadline = std::min(request.deadline, this->time.now() + this->limits.longest_wait);
    while (true) {
        // The map may have been replaced while this thread slept.
        const auto found = this->services.find(request.service);
        if (found == this->services.end()) {
            return tl::make_unexpected(slot_refusal::none_available);
        }
        service_state& service = found->second;
        const bool first = !service.queue.waiting.empty() && service.queue.waiting.begin()->ticket == *ticket;
        const target_choice choice = first ? this->choose(service, request) : target_choice{};
        if (choice.index) {
            static_cast<void>(dequeue(service.queue));
            this->freed.notify_all();
            return this->take(service, *choice.index, request.service);
        }
        const instant now = this->time.now();
        if (now >= deadline || (first && choice.reason == no_target_reason::none_available)) {
            cancel(service.queue, *ticket);
            this->freed.notify_all();
            return tl::make_unexpected(now >= deadline ? slot_refusal::timed_out
                                                       : slot_refusal::none_available);
        }
        this->freed.wait_for(lock, std::min<nanoseconds>(slot_poll, deadline - now));
    }
}

bool target_registry::release(const target_slot& slot, target_outcome outcome) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->services.find(slot.service);
    const auto index =
        found == this->services.end() ? std::nullopt : index_of(*found->second.view, slot.target);
    if (!index) {
        return false;
    }
    service_state& service = found->second;
    if (service.targets[*index].in_flight > 0) {
        --service.targets[*index].in_flight;
    }
    if (!service.queue.waiting.empty()) {
        this->freed.notify_all();
    }
    return outcome != target_outcome::neutral &&
           record_outcome(service.targets, *index, outcome == target_outcome::success, this->time.now());
}

std::vector<schema::TargetLoad> target_registry::loads() const {
    std::vector<schema::TargetLoad> list;
    for (const target_row& row : this->rows()) {
        if (row.in_flight > 0 || row.ejected) {
            schema::TargetLoad load;
            load.set_target(row.target);
            load.set_in_flight(static_cast<std::uint32_t>(row.in_flight));
            load.set_ejected(row.ejected);
            list.push_back(std::move(load));
        }
    }
    return list;
}

std::vector<target_row> target_registry::rows() const {
    const std::scoped_lock lock(this->mutex);
    const instant now = this->time.now();
    const auto wall_now = std::chrono::system_clock::now();
    std::vector<target_row> list;
    for (const auto& [name, service] : this->services) {
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            const target_state& state = service.targets[i];
            list.push_back({service.view->targets[i].name, state.in_flight,
                            state.ejected_until && *state.ejected_until > now,
                            ::cassiaspan::is_draining(service.view->targets[i], wall_now)});
        }
    }
    return list;
}

} // namespace cassiaspan
