#include "steering_config.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <iterator>
#include <limits>
#include <unordered_set>
#include <utility>

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

// Index of a prefix whose route is left out.
constexpr std::size_t left_out_route = std::numeric_limits<std::size_t>::max();

// Returns the prefix with a slash at either end, so that a route whose prefix lacks one reserves the paths
// that it was meant for.
std::string with_outer_slashes(std::string prefix) {
    if (prefix.front() != '/') {
        prefix.insert(0, 1, '/');
    }
    if (prefix.back() != '/') {
        prefix += '/';
    }
    return prefix;
}

// Records an error in a field of an entry.
void add_problem(entry_source& source, const char* field, std::string text) {
    source.problems.push_back({source.path + field, std::move(text)});
}

// Sets the path of an entry that comes from no document.
void set_default_path(entry_source& source, const char* list, std::size_t index) {
    if (source.path.empty()) {
        source.path = fmt::format("{}[{}]", list, index);
    }
}

void check_route(route_rule& route, const std::unordered_map<std::string, std::size_t>& services) {
    entry_source& source = route.source;
    if (route.host.empty()) {
        add_problem(source, ".host", "must not be empty");
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        add_problem(source, ".prefix", fmt::format("'{}' must begin and end with '/'", route.prefix));
    }
    if (route.timeout <= milliseconds(0)) {
        add_problem(source, ".timeout", "must be above 0 ms");
    }
    if (route.max_attempts == 0) {
        add_problem(source, ".max_attempts", "must be at least 1");
    }
    double total_weight = 0;
    for (const weighted_service& entry : route.split) {
        total_weight += entry.weight;
        if (services.count(entry.service) == 0) {
            add_problem(source, ".split",
                        fmt::format("service '{}' does not exist or is left out", entry.service));
        }
        if (entry.weight < 0) {
            add_problem(source, ".split", fmt::format("weight {} is negative", entry.weight));
        }
    }
    if (total_weight <= 0) {
        add_problem(source, ".split", "sum of the weights must be above 0");
    }
}

} // namespace

void steering_config::add_services(std::vector<service_rule> services) {
    std::unordered_set<std::string> names;
    std::size_t index = 0;
    for (service_rule& service : services) {
        set_default_path(service.source, "services", index++);
        if (service.name.empty() || !names.insert(service.name).second) {
            add_problem(service.source, ".name",
                        fmt::format("name '{}' is empty or a duplicate", service.name));
        }
        if (!service.source.problems.empty()) {
            this->stored_rules.left_out.push_back(summarize(service.source.problems));
            continue;
        }
        service.source = {};
        this->service_by_name.emplace(service.name, this->stored_rules.services.size());
        this->stored_rules.services.push_back(std::move(service));
    }
}

void steering_config::add_workspaces(std::vector<workspace_rule> workspaces) {
    std::unordered_set<std::string> names;
    std::unordered_set<std::string> keys;
    std::size_t index = 0;
    for (workspace_rule& workspace : workspaces) {
        set_default_path(workspace.source, "workspaces", index++);
        this->stored_rules.keys_required = true;
        if (!workspace.name.empty() && !names.insert(workspace.name).second) {
            add_problem(workspace.source, ".name", fmt::format("duplicate name '{}'", workspace.name));
        }
        bool has_duplicate = false;
        for (const std::string& key : workspace.keys) {
            has_duplicate = !keys.insert(key).second || has_duplicate;
        }
        if (has_duplicate) {
            add_problem(workspace.source, ".keys", "duplicate API key");
        }
        if (!workspace.source.problems.empty()) {
            this->stored_rules.left_out.push_back(summarize(workspace.source.problems));
            continue;
        }
        workspace.source = {};
        for (const std::string& key : workspace.keys) {
            this->workspace_by_key.emplace(key, this->stored_rules.workspaces.size());
        }
        this->stored_rules.workspaces.push_back(std::move(workspace));
    }
}

void steering_config::add_routes(std::vector<route_rule> routes) {
    std::unordered_set<std::string> names;
    std::size_t index = 0;
    for (route_rule& route : routes) {
        set_default_path(route.source, "routes", index++);
        check_route(route, this->service_by_name);
        if (!route.name.empty() && !names.insert(route.name).second) {
            add_problem(route.source, ".name", fmt::format("duplicate name '{}'", route.name));
        }
        if (!route.host.empty() && !route.prefix.empty()) {
            const std::string key = route_key(route.host, with_outer_slashes(route.prefix));
            if (!this->route_by_prefix.emplace(key, left_out_route).second) {
                add_problem(route.source, ".prefix",
                            fmt::format("duplicate route for '{}{}'", route.host, route.prefix));
            } else if (route.source.problems.empty()) {
                this->route_by_prefix[key] = this->stored_rules.routes.size();
            }
        }
        if (!route.source.problems.empty()) {
            this->stored_rules.left_out.push_back(summarize(route.source.problems));
            continue;
        }
        auto& remarks = route.source.remarks;
        std::move(remarks.begin(), remarks.end(), std::back_inserter(this->stored_rules.left_out));
        route.source = {};
        this->stored_rules.routes.push_back(std::move(route));
    }
}

tl::expected<std::shared_ptr<const steering_config>, findings> steering_config::make(steering_rules rules) {
    auto config = std::make_shared<steering_config>();
    auto services = std::exchange(rules.services, {});
    auto workspaces = std::exchange(rules.workspaces, {});
    auto routes = std::exchange(rules.routes, {});
    config->stored_rules = std::move(rules);
    config->add_services(std::move(services));
    config->add_workspaces(std::move(workspaces));
    config->add_routes(std::move(routes));
    return std::shared_ptr<const steering_config>(std::move(config));
}

std::shared_ptr<const steering_config> steering_config::with_limits(const caller_limits& limits) const {
    auto copy = std::make_shared<steering_config>(*this);
    copy->stored_rules.limits = limits;
    return copy;
}

std::optional<std::size_t> steering_config::find_route_index(std::string_view host,
                                                             std::string_view path) const {
    path = path.substr(0, path.find('?'));
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = this->route_by_prefix.find(route_key(host, path.substr(0, end + 1)));
        if (found != this->route_by_prefix.end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

const route_rule* steering_config::find_route(std::string_view host, std::string_view path) const {
    const auto index = this->find_route_index(host, path);
    return index && *index != left_out_route ? &this->stored_rules.routes[*index] : nullptr;
}

bool steering_config::is_left_out(std::string_view host, std::string_view path) const {
    return this->find_route_index(host, path) == left_out_route;
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
