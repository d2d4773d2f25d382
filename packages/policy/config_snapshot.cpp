#include "config_snapshot.h"

#include "config_check.h"
#include "digest.h"

#include <algorithm>
#include <cmath>
#include <google/protobuf/util/time_util.h>

namespace cassiaspan {

namespace {

using google::protobuf::util::TimeUtil;
using region_by_zone = std::unordered_map<std::string, std::string>;
using wall_time = std::chrono::system_clock::time_point;

constexpr seconds default_retention = std::chrono::hours{24};

region_by_zone index_zones(const schema::Configuration& configuration) {
    region_by_zone regions;
    for (const auto& region : configuration.regions()) {
        for (const std::string& zone : region.availability_zones()) {
            regions[zone] = region.name();
        }
    }
    return regions;
}

// Returns the earliest start of the drains that apply to the target.
std::optional<wall_time> find_drain_start(const schema::Configuration& configuration,
                                          const target_config& target) {
    std::optional<wall_time> earliest;
    for (const auto& drain : configuration.drains()) {
        if (drain_applies_to(drain, target)) {
            const wall_time start{seconds{drain.start().seconds()}};
            earliest = earliest ? std::min(*earliest, start) : start;
        }
    }
    return earliest;
}

service_config make_service(const schema::Configuration& configuration, const schema::Service& source,
                            const region_by_zone& regions) {
    service_config service{source.name(),
                           source.path_prefix(),
                           source.open(),
                           {source.non_idempotent_methods().begin(), source.non_idempotent_methods().end()},
                           source.slots_per_target(),
                           source.max_connections_per_target(),
                           {}};
    if (service.non_idempotent_methods.empty()) {
        service.non_idempotent_methods = {"POST", "PATCH"};
    }
    for (const auto& entry : source.targets()) {
        target_config target{entry.name(), entry.address(), entry.availability_zone(),
                             regions.at(entry.availability_zone()), std::nullopt};
        target.drain_starts_at = find_drain_start(configuration, target);
        service.targets.push_back(std::move(target));
    }
    return service;
}

workspace_config make_workspace(const schema::Workspace& source) {
    workspace_config workspace;
    workspace.name = source.name();
    workspace.services = {source.services().begin(), source.services().end()};
    workspace.quota = {std::llround(source.rate_per_second() * microrequests_per_request),
                       static_cast<std::int64_t>(source.burst_requests()) * microrequests_per_request};
    workspace.home_region = source.home_region();
    workspace.idempotency_retention =
        source.has_idempotency_retention()
            ? milliseconds{TimeUtil::DurationToMilliseconds(source.idempotency_retention())}
            : milliseconds{default_retention};
    workspace.weight = std::max<std::size_t>(1, source.weight());
    workspace.availability_ratio = source.objective().availability_ratio();
    workspace.latency_objective =
        milliseconds{TimeUtil::DurationToMilliseconds(source.objective().latency())};
    workspace.latency_ratio = source.objective().latency_ratio();
    return workspace;
}

} // namespace

tl::expected<std::shared_ptr<const config_snapshot>, findings>
config_snapshot::make(const schema::Configuration& configuration) {
    findings found = check_configuration(configuration);
    if (!found.empty()) {
        return tl::make_unexpected(std::move(found));
    }
    const region_by_zone regions = index_zones(configuration);
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->configuration = configuration;
    for (const auto& source : configuration.services()) {
        snapshot->service_by_prefix[source.path_prefix()] = snapshot->service_list.size();
        snapshot->service_list.push_back(make_service(configuration, source, regions));
    }
    for (const auto& source : configuration.workspaces()) {
        for (const auto& key : source.keys()) {
            snapshot->workspace_by_key_digest[key.sha256()] = snapshot->workspace_list.size();
        }
        snapshot->workspace_list.push_back(make_workspace(source));
    }
    return std::shared_ptr<const config_snapshot>(std::move(snapshot));
}

const workspace_config* config_snapshot::find_workspace_by_key(std::string_view key) const {
    const auto found = this->workspace_by_key_digest.find(sha256_hex(key));
    return found == this->workspace_by_key_digest.end() ? nullptr : &this->workspace_list[found->second];
}

const service_config* config_snapshot::find_service_by_path(std::string_view path) const {
    if (path.empty() || path.front() != '/') {
        return nullptr;
    }
    // A matching prefix ends at the end of the path or before a '/', so only these lengths are looked up.
    for (std::size_t length = path.size(); length > 0; length = path.rfind('/', length - 1)) {
        const auto found = this->service_by_prefix.find(std::string(path.substr(0, length)));
        if (found != this->service_by_prefix.end()) {
            return &this->service_list[found->second];
        }
    }
    const auto root = this->service_by_prefix.find("/");
    return root == this->service_by_prefix.end() ? nullptr : &this->service_list[root->second];
}

const service_config* config_snapshot::find_service(std::string_view name) const {
    const auto found = std::find_if(this->service_list.begin(), this->service_list.end(),
                                    [name](const service_config& service) { return service.name == name; });
    return found == this->service_list.end() ? nullptr : &*found;
}

bool drain_applies_to(const schema::Drain& drain, const target_config& target) {
    switch (drain.subject_case()) {
    case schema::Drain::kTarget:
        return drain.target() == target.name;
    case schema::Drain::kAvailabilityZone:
        return drain.availability_zone() == target.availability_zone;
    case schema::Drain::kRegion:
        return drain.region() == target.region;
    case schema::Drain::SUBJECT_NOT_SET:
        break;
    }
    return false;
}

bool is_non_idempotent(const service_config& service, const std::string& method) {
    return service.non_idempotent_methods.count(method) != 0;
}

} // namespace cassiaspan
