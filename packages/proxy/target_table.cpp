#include "target_table.h"

#include "stable_hash.h"

#include <algorithm>
#include <utility>

namespace cassiaspan {

namespace {

// Load reports of targets that are older than this are less accurate than the in-flight counts of the VMs.
constexpr milliseconds max_report_age{250};

// How long the last entry of a removed target and its record are kept. Copies that a store is restored from
// are some seconds old.
constexpr milliseconds removed_entry_retention{60'000};

// Speed reports up to this age are exported as metrics: about the interval at which metrics are collected, so
// that most targets in use appear in each collection.
constexpr milliseconds max_exported_speed_age{15'000};

const std::vector<target_ptr> no_targets;

// Returns whether the entries belong to different incarnations of a target.
bool is_other_incarnation(const target_info& existing, const target_info& updated) {
    return existing.started_ms != updated.started_ms || existing.address != updated.address ||
           existing.service != updated.service;
}

// Returns whether the entry is from an earlier incarnation, or was written before the known entry of the same
// incarnation.
bool is_earlier_entry(const target_info& entry, const target_info& known) {
    if (!is_other_incarnation(entry, known)) {
        return entry.sequence < known.sequence;
    }
    return entry.started_ms != 0 && entry.started_ms < known.started_ms;
}

} // namespace

entry_effect target_table::upsert(const target_info& info, instant now, std::uint64_t epoch) {
    const auto set_aside = this->outdated_entries.find(info.id);
    // The copy has one entry of a target; a second one in the epoch was written by the target itself.
    const bool is_first_of_epoch =
        set_aside == this->outdated_entries.end() || set_aside->second.epoch < epoch;
    if (is_first_of_epoch && this->is_outdated(info, epoch)) {
        this->outdated_entries[info.id] = {info, epoch};
        return entry_effect::set_aside;
    }
    return this->apply(info, now, epoch);
}

// Within an epoch, revisions order all writes. Only the first entry of a later epoch can be older than the
// known one: the store was restored from a copy that was made before.
bool target_table::is_outdated(const target_info& info, std::uint64_t epoch) const {
    const auto removed = this->removed_entries.find(info.id);
    if (removed != this->removed_entries.end() && removed->second.epoch < epoch) {
        const target_info& last = removed->second.info;
        return is_earlier_entry(info, last) ||
               (!is_other_incarnation(info, last) && info.sequence == last.sequence);
    }
    const auto existing = this->by_id.find(info.id);
    return existing != this->by_id.end() && existing->second->entry_epoch < epoch &&
           is_earlier_entry(info, existing->second->info);
}

entry_effect target_table::apply(const target_info& info, instant now, std::uint64_t epoch) {
    this->removed_entries.erase(info.id);
    this->outdated_entries.erase(info.id);
    const auto found = this->by_id.find(info.id);
    if (found != this->by_id.end() && is_other_incarnation(found->second->info, info)) {
        this->erase(info.id, now);
    }
    const auto existing = this->by_id.find(info.id);
    const bool is_new = existing == this->by_id.end();
    const target_ptr former = is_new ? this->take_former(info) : nullptr;
    const target_ptr target = !is_new             ? existing->second
                              : former != nullptr ? former
                                                  : std::make_shared<target_record>();
    target_info before = target->info;
    before.cold_remaining = info.cold_remaining;
    before.sequence = info.sequence;
    const bool changed = is_new || target->removal_due_at || before != info;
    target->info = info;
    target->entry_epoch = epoch;
    target->id_hash = stable_hash(info.id);
    target->removal_due_at.reset();
    if (info.cold_remaining > milliseconds(0)) {
        target->cold_until = std::max(target->cold_until, now + info.cold_remaining);
    }
    if (is_new) {
        target->first_seen = former != nullptr ? former->first_seen : now;
        this->insert(target);
    }
    return changed ? entry_effect::changed : entry_effect::none;
}

void target_table::insert(const target_ptr& target) {
    this->by_id[target->info.id] = target;
    this->by_service[target->info.service].push_back(target);
    this->by_hash[low_32_bits(target->id_hash)] = target;
    const auto in_flight = this->peers_in_flight.find(low_32_bits(target->id_hash));
    target->peers_in_flight =
        in_flight == this->peers_in_flight.end() ? 0 : static_cast<std::size_t>(in_flight->second);
}

void target_table::add_peers_in_flight(std::uint32_t id_hash_low, std::int64_t change) {
    const auto in_flight = this->peers_in_flight.try_emplace(id_hash_low, 0).first;
    in_flight->second += change;
    if (const target_ptr target = this->find_by_hash(id_hash_low)) {
        target->peers_in_flight = static_cast<std::size_t>(in_flight->second);
    }
    if (in_flight->second == 0) {
        this->peers_in_flight.erase(in_flight);
    }
}

void target_table::schedule_removal(const std::string& id, instant due_at, std::uint64_t epoch) {
    this->outdated_entries.erase(id);
    const auto found = this->by_id.find(id);
    if (found != this->by_id.end() && !found->second->removal_due_at) {
        found->second->removal_due_at = due_at;
        this->removed_entries[id] = {found->second->info, epoch, due_at};
    }
}

void target_table::apply_due_removals(instant now) {
    this->erase_due_targets(now);
    std::erase_if(this->removed_entries, [now](const auto& entry) {
        return now - entry.second.removed_at > removed_entry_retention;
    });
    std::erase_if(this->former_targets, [now](const former_target& former) {
        return now - former.erased_at > removed_entry_retention;
    });
}

void target_table::apply_outdated_entries(instant now) {
    const auto entries = std::exchange(this->outdated_entries, {});
    for (const auto& [id, entry] : entries) {
        this->apply(entry.info, now, entry.epoch);
    }
}

void target_table::erase_due_targets(instant now) {
    std::vector<std::string> expired_ids;
    for (const auto& [id, target] : this->by_id) {
        const std::optional<instant> due_at = target->removal_due_at;
        if (due_at && *due_at <= now) {
            expired_ids.push_back(id);
        }
    }
    for (const std::string& id : expired_ids) {
        this->erase(id, now);
    }
}

void target_table::close_idle_connections() {
    for (const auto& [id, target] : this->by_id) {
        target->idle_connections.clear();
    }
}

void target_table::erase(const std::string& id, instant now) {
    const auto found = this->by_id.find(id);
    const target_ptr target = found->second;
    this->by_id.erase(found);
    this->by_hash.erase(low_32_bits(target->id_hash));
    std::vector<target_ptr>& service_targets = this->by_service[target->info.service];
    service_targets.erase(std::remove(service_targets.begin(), service_targets.end(), target),
                          service_targets.end());
    drop_idle_connections(*target);
    this->former_targets.push_back({target, now});
}

// Removes the record of the incarnation from the former targets and returns it; null if there is none.
target_ptr target_table::take_former(const target_info& info) {
    const auto found = std::find_if(
        this->former_targets.begin(), this->former_targets.end(), [&info](const former_target& former) {
            return former.target->info.id == info.id && !is_other_incarnation(former.target->info, info);
        });
    if (found == this->former_targets.end()) {
        return nullptr;
    }
    target_ptr target = found->target;
    this->former_targets.erase(found);
    return target;
}

const std::vector<target_ptr>& target_table::find_by_service(const std::string& service) const {
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? no_targets : found->second;
}

bool target_table::is_current(const target_record& target) const {
    const auto found = this->by_id.find(target.info.id);
    return found != this->by_id.end() && found->second.get() == &target;
}

target_ptr target_table::find_by_hash(std::uint32_t id_hash_low) const {
    const auto found = this->by_hash.find(id_hash_low);
    return found == this->by_hash.end() ? nullptr : found->second;
}

void drop_idle_connections(target_record& target) {
    target.open_connections -= std::min(target.open_connections, target.idle_connections.size());
    target.idle_connections.clear();
}

double estimate_load(const target_record& target, instant now) {
    const double counted = static_cast<double>(target.in_flight + target.peers_in_flight);
    if (!target.last_load_report || now - target.last_load_report->reported_at > max_report_age) {
        return counted;
    }
    const double in_flight_change = static_cast<double>(target.in_flight) -
                                    static_cast<double>(target.last_load_report->in_flight_at_report);
    return std::max(counted, target.last_load_report->requests + std::max(0.0, in_flight_change));
}

std::vector<std::uint32_t> recent_speed_percents(const target_table& targets, instant now) {
    std::vector<std::uint32_t> percents;
    for (const auto& [id, target] : targets.all()) {
        const std::optional<speed_report>& report = target->last_speed_report;
        if (report && now - report->reported_at <= max_exported_speed_age) {
            percents.push_back(report->percent);
        }
    }
    return percents;
}

} // namespace cassiaspan
