#include "steering_config.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace cassiaspan {

namespace {

std::string lower_case(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

std::string route_key(std::string_view host, std::string_view prefix) {
    std::string key = lower_case(host);
    key += '\n';
    key += prefix;
    return key;
}

void check_route(const route_rule& route, const std::string& path,
                 const std::unordered_map<std::string, std::size_t>& services, findings& found) {
    if (route.host.empty()) {
        found.push_back({path + ".host", "must not be empty"});
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        found.push_back({path + ".prefix", fmt::format("'{}' must begin and end with '/'", route.prefix)});
    }
    if (route.timeout <= milliseconds(0)) {
        found.push_back({path + ".timeout", "must be above 0 ms"});
    }
    if (route.max_attempts == 0) {
        found.push_back({path + ".max_attempts", "must be at least 1"});
    }
    double total_weight = 0;
    for (const weighted_service& entry : route.split) {
        total_weight += entry.weight;
        if (services.count(entry.service) == 0) {
            found.push_back({path + ".split", fmt::format("service '{}' does not exist", entry.service)});
        }
        if (entry.weight < 0) {
            found.push_back({path + ".split", fmt::format("weight {} is negative", entry.weight)});
        }
    }
    if (total_weight <= 0) {
        found.push_back({path + ".split", "sum of the weights must be above 0"});
    }
}

} // namespace

tl::expected<std::shared_ptr<const steering_config>, findings> steering_config::make(steering_rules rules) {
    auto config = std::make_shared<steering_config>();
    config->stored_rules = std::move(rules);
    findings found;
    for (std::size_t i = 0; i < config->stored_rules.services.size(); ++i) {
        const std::string& name = config->stored_rules.services[i].name;
        if (name.empty() || !config->service_by_name.emplace(name, i).second) {
            found.push_back({fmt::format("services[{}].name", i),
                             fmt::format("name '{}' is empty or a duplicate", name)});
        }
    }
    for (std::size_t i = 0; i < config->stored_rules.routes.size(); ++i) {
        const route_rule& route = config->stored_rules.routes[i];
        check_route(route, fmt::format("routes[{}]", i), config->service_by_name, found);
        if (!config->route_by_prefix.emplace(route_key(route.host, route.prefix), i).second) {
            found.push_back({fmt::format("routes[{}].prefix", i),
                             fmt::format("duplicate route for '{}{}'", route.host, route.prefix)});
        }
    }
    for (std::size_t i = 0; i < config->stored_rules.workspaces.size(); ++i) {
        for (const std::string& key : config->stored_rules.workspaces[i].keys) {
            if (!config->workspace_by_key.emplace(key, i).second) {
                found.push_back({fmt::format("workspaces[{}].keys", i), "duplicate API key"});
            }
        }
    }
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    return std::shared_ptr<const steering_config>(std::move(config));
}

const route_rule* steering_config::find_route(std::string_view host, std::string_view path) const {
    path = path.substr(0, path.find('?'));
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = this->route_by_prefix.find(route_key(host, path.substr(0, end + 1)));
        if (found != this->route_by_prefix.end()) {
            return &this->stored_rules.routes[found->second];
        }
    }
    return nullptr;
}

const workspace_rule* steering_config::find_workspace(std::string_view key) const {
    const auto found = this->workspace_by_key.find(std::string(key));
    return found == this->workspace_by_key.end() ? nullptr : &this->stored_rules.workspaces[found->second];
}

const workspace_rule* steering_config::find_workspace_by_name(std::string_view name) const {
    const auto& workspaces = this->stored_rules.workspaces;
    const auto found = std::find_if(workspaces.begin(), workspaces.end(),
                                    [name](const workspace_rule& each) { return each.name == name; });
    return found == workspaces.end() ? nullptr : &*found;
}

const service_rule* steering_config::find_service(const std::string& name) const {
    const auto found = this->service_by_name.find(name);
    return found == this->service_by_name.end() ? nullptr : &this->stored_rules.services[found->second];
}

bool is_region_allowed(const std::vector<std::string>& route_regions,
                       const std::vector<std::string>& workspace_regions, std::string_view region) {
    const auto allows = [region](const std::vector<std::string>& regions) {
        return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    };
    return allows(route_regions) && allows(workspace_regions);
}

} // namespace cassiaspan
