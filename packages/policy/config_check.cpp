#include "config_check.h"

#include "address.h"

#include <cmath>
#include <google/protobuf/util/json_util.h>
#include <set>

namespace cassiaspan {

namespace {

constexpr double max_rate_per_second = 1e7;
constexpr std::uint32_t max_burst_requests = 10'000'000;
constexpr std::size_t sha256_hex_digits = 64;

// State of the check: the findings, and the names defined so far, to which later sections refer.
struct checker {
    const schema::Configuration& configuration;
    findings found;
    std::set<std::string> regions;
    std::set<std::string> zones;
    std::set<std::string> services;
    std::set<std::string> targets;
};

// Returns the path of a list element, such as "services[2]".
std::string element_path(const char* list, int index) {
    return std::string(list) + "[" + std::to_string(index) + "]";
}

void add_finding(checker& check, const std::string& path, const std::string& text) {
    check.found.push_back({path, text});
}

// Reports an empty name, or one that is already in `names`; adds it otherwise.
void check_name(checker& check, std::set<std::string>& names, const std::string& path,
                const std::string& name) {
    if (name.empty()) {
        add_finding(check, path, "is empty");
    } else if (!names.insert(name).second) {
        add_finding(check, path, "\"" + name + "\" is already used in this list");
    }
}

// Reports a reference to a name that is not in `names`.
void check_reference(checker& check, const std::set<std::string>& names, const std::string& path,
                     const std::string& name, const char* kind) {
    if (names.count(name) == 0) {
        add_finding(check, path, std::string(kind) + " \"" + name + "\" does not exist");
    }
}

void check_regions(checker& check) {
    for (int i = 0; i < check.configuration.regions_size(); ++i) {
        const auto& region = check.configuration.regions(i);
        const std::string path = element_path("regions", i);
        check_name(check, check.regions, path + ".name", region.name());
        if (region.availability_zones().empty()) {
            add_finding(check, path + ".availabilityZones", "is empty");
        }
        for (int z = 0; z < region.availability_zones_size(); ++z) {
            check_name(check, check.zones, path + "." + element_path("availabilityZones", z),
                       region.availability_zones(z));
        }
    }
}

void check_target(checker& check, const schema::Target& target, const std::string& path) {
    check_name(check, check.targets, path + ".name", target.name());
    check_reference(check, check.zones, path + ".availabilityZone", target.availability_zone(),
                    "availability zone");
    if (!parse_address(target.address())) {
        add_finding(check, path + ".address", "\"" + target.address() + "\" is not IP:port");
    }
}

void check_services(checker& check) {
    std::set<std::string> prefixes;
    for (int i = 0; i < check.configuration.services_size(); ++i) {
        const auto& service = check.configuration.services(i);
        const std::string path = element_path("services", i);
        check_name(check, check.services, path + ".name", service.name());
        check_name(check, prefixes, path + ".pathPrefix", service.path_prefix());
        const std::string& prefix = service.path_prefix();
        if (prefix.empty() || prefix.front() != '/' || (prefix.size() > 1 && prefix.back() == '/')) {
            add_finding(check, path + ".pathPrefix", "must begin with '/' and not end with one");
        } else if (prefix == "/v1/steer") {
            add_finding(check, path + ".pathPrefix", "\"/v1/steer\" is the system's own");
        }
        if (service.slots_per_target() == 0) {
            add_finding(check, path + ".slotsPerTarget", "must be at least 1 request");
        }
        if (service.max_connections_per_target() == 0) {
            add_finding(check, path + ".maxConnectionsPerTarget", "must be at least 1 connection");
        }
        for (int t = 0; t < service.targets_size(); ++t) {
            check_target(check, service.targets(t), path + "." + element_path("targets", t));
        }
    }
}

void check_keys(checker& check, std::set<std::string>& digests, const schema::Workspace& workspace,
                const std::string& path) {
    std::set<std::string> ids;
    for (int k = 0; k < workspace.keys_size(); ++k) {
        const auto& key = workspace.keys(k);
        const std::string key_path = path + "." + element_path("keys", k);
        check_name(check, ids, key_path + ".id", key.id());
        check_name(check, digests, key_path + ".sha256", key.sha256());
        if (key.sha256().size() != sha256_hex_digits ||
            key.sha256().find_first_not_of("0123456789abcdef") != std::string::npos) {
            add_finding(check, key_path + ".sha256", "must be 64 lower-case hexadecimal digits");
        }
    }
}

void check_objective(checker& check, const schema::Objective& objective, const std::string& path) {
    if (!(objective.availability_ratio() > 0 && objective.availability_ratio() < 1)) {
        add_finding(check, path + ".availabilityRatio", "must lie between 0 and 1");
    }
    if (!(objective.latency_ratio() > 0 && objective.latency_ratio() < 1)) {
        add_finding(check, path + ".latencyRatio", "must lie between 0 and 1");
    }
    if (objective.latency().seconds() <= 0 && objective.latency().nanos() <= 0) {
        add_finding(check, path + ".latency", "must be above 0, as in \"0.250s\"");
    }
}

void check_workspaces(checker& check) {
    std::set<std::string> names;
    std::set<std::string> digests;
    for (int i = 0; i < check.configuration.workspaces_size(); ++i) {
        const auto& workspace = check.configuration.workspaces(i);
        const std::string path = element_path("workspaces", i);
        check_name(check, names, path + ".name", workspace.name());
        check_keys(check, digests, workspace, path);
        for (int s = 0; s < workspace.services_size(); ++s) {
            check_reference(check, check.services, path + "." + element_path("services", s),
                            workspace.services(s), "service");
        }
        if (!std::isfinite(workspace.rate_per_second()) || workspace.rate_per_second() < 0 ||
            workspace.rate_per_second() > max_rate_per_second) {
            add_finding(check, path + ".ratePerSecond",
                        "must lie between 0 and 10000000 requests per second");
        }
        if (workspace.burst_requests() == 0 || workspace.burst_requests() > max_burst_requests) {
            add_finding(check, path + ".burstRequests", "must lie between 1 and 10000000 requests");
        }
        check_reference(check, check.regions, path + ".homeRegion", workspace.home_region(), "region");
        if (workspace.idempotency_retention().seconds() < 0) {
            add_finding(check, path + ".idempotencyRetention", "must not be below 0");
        }
        if (workspace.has_objective()) {
            check_objective(check, workspace.objective(), path + ".objective");
        }
    }
}

void check_drains(checker& check) {
    std::set<std::string> names;
    for (int i = 0; i < check.configuration.drains_size(); ++i) {
        const auto& drain = check.configuration.drains(i);
        const std::string path = element_path("drains", i);
        check_name(check, names, path + ".name", drain.name());
        switch (drain.subject_case()) {
        case schema::Drain::kTarget:
            check_reference(check, check.targets, path + ".target", drain.target(), "target");
            break;
        case schema::Drain::kAvailabilityZone:
            check_reference(check, check.zones, path + ".availabilityZone", drain.availability_zone(),
                            "availability zone");
            break;
        case schema::Drain::kRegion:
            check_reference(check, check.regions, path + ".region", drain.region(), "region");
            break;
        case schema::Drain::SUBJECT_NOT_SET:
            add_finding(check, path, "names no target, availability zone or region");
        }
    }
}

} // namespace

findings check_configuration(const schema::Configuration& configuration) {
    checker check{configuration, {}, {}, {}, {}, {}};
    check_regions(check);
    check_services(check);
    check_workspaces(check);
    check_drains(check);
    return check.found;
}

tl::expected<schema::Configuration, findings> parse_configuration(const std::string& json) {
    schema::Configuration configuration;
    const auto status = google::protobuf::util::JsonStringToMessage(json, &configuration);
    if (!status.ok()) {
        return tl::make_unexpected(findings{{"document", std::string(status.message())}});
    }
    findings found = check_configuration(configuration);
    if (!found.empty()) {
        return tl::make_unexpected(std::move(found));
    }
    return configuration;
}

} // namespace cassiaspan
