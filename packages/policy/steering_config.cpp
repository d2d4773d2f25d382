#include "steering_config.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace cassiaspan {

namespace {

std::string lower_case(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string route_key(std::string_view host, std::string_view prefix) {
    std::string key = lower_case(host);
    key += '\n';
    key += prefix;
    return key;
}

void check_route(const route_rule& route, const std::string& place,
                 const std::unordered_map<std::string, std::size_t>& services, findings& found) {
    if (route.host.empty()) {
        found.push_back({place + ".host", "must not be empty"});
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        found.push_back({place + ".prefix", fmt::format("'{}' must begin and end with '/'", route.prefix)});
    }
    if (route.timeout <= milliseconds(0)) {
        found.push_back({place + ".timeout", "must be above 0 ms"});
    }
    if (route.max_attempts == 0) {
        found.push_back({place + ".max_attempts", "must be at least 1"});
    }
    double weight = 0;
    for (const split_part& part : route.split) {
        weight += part.weight;
        if (services.count(part.service) == 0) {
            found.push_back({place + ".split", fmt::format("service '{}' does not exist", part.service)});
        }
        if (part.weight < 0) {
            found.push_back({place + ".split", fmt::format("weight {} is negative", part.weight)});
        }
    }
    if (weight <= 0) {
        found.push_back({place + ".split", "no service with a weight above 0"});
    }
}

} // namespace

tl::expected<std::shared_ptr<const steering_config>, findings> steering_config::make(steering_rules rules) {
    auto made = std::make_shared<steering_config>();
    made->source = std::move(rules);
    findings found;
    for (std::size_t i = 0; i < made->source.services.size(); ++i) {
        const std::string& name = made->source.services[i].name;
        if (name.empty() || !made->service_by_name.emplace(name, i).second) {
            found.push_back(
                {fmt::format("services[{}].name", i), fmt::format("'{}' is empty or twice", name)});
        }
    }
    for (std::size_t i = 0; i < made->source.routes.size(); ++i) {
        const route_rule& route = made->source.routes[i];
        check_route(route, fmt::format("routes[{}]", i), made->service_by_name, found);
        if (!made->route_by_prefix.emplace(route_key(route.host, route.prefix), i).second) {
            found.push_back({fmt::format("routes[{}].prefix", i),
                             fmt::format("'{}{}' has two routes", route.host, route.prefix)});
        }
    }
    for (std::size_t i = 0; i < made->source.workspaces.size(); ++i) {
        for (const std::string& key : made->source.workspaces[i].keys) {
            if (!made->workspace_by_key.emplace(key, i).second) {
                found.push_back({fmt::format("workspaces[{}].keys", i), "a key is held twice"});
            }
        }
    }
    if (!found.empty()) {
        return tl::unexpected(std::move(found));
    }
    return std::shared_ptr<const steering_config>(std::move(made));
}

const route_rule* steering_config::find_route(std::string_view host, std::string_view path) const {
    path = path.substr(0, path.find('?'));
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = this->route_by_prefix.find(route_key(host, path.substr(0, end + 1)));
        if (found != this->route_by_prefix.end()) {
            return &this->source.routes[found->second];
        }
    }
    return nullptr;
}

const workspace_rule* steering_config::find_workspace(std::string_view key) const {
    const auto found = this->workspace_by_key.find(std::string(key));
    return found == this->workspace_by_key.end() ? nullptr : &this->source.workspaces[found->second];
}

const service_rule* steering_config::find_service(const std::string& name) const {
    const auto found = this->service_by_name.find(name);
    return found == this->service_by_name.end() ? nullptr : &this->source.services[found->second];
}

bool is_region_allowed(const std::vector<std::string>& route_regions,
                       const std::vector<std::string>& workspace_regions, std::string_view region) {
    const auto allows = [region](const std::vector<std::string>& regions) {
        return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    };
    return allows(route_regions) && allows(workspace_regions);
}

} // namespace cassiaspan
