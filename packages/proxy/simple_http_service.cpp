#include "simple_http_service.h"

#include "accept_loop.h"
#include "socket_timeout.h"
#include "stable_hash.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <iterator>

namespace cassiaspan {

namespace {

// Closes a connection if a request and its response take longer, including the wait for the request.
// Responses have a bounded size: a lookup lists at most max_addresses, the metrics grow with services and
// targets.
constexpr milliseconds idle_timeout{5000};
constexpr milliseconds client_silence_timeout{3000};
constexpr std::uint32_t max_request_header_bytes = 8 * 1024;
// Limit of the bytes of a request that are kept until they can be parsed.
constexpr std::size_t max_unparsed_request_bytes = 2 * std::size_t{max_request_header_bytes};
// How long a caller may cache a lookup reply; short, so that callers soon stop using a VM that has ended.
constexpr milliseconds lookup_ttl{1000};
// Maximum number of addresses in a lookup reply.
constexpr std::size_t max_addresses = 64;

// Serves requests on one connection until it is closed, fails or times out.
asio::awaitable<void> serve_connection(node_core& core, std::shared_ptr<tcp::socket> socket,
                                       simple_handler handler) {
    set_tcp_options(*socket, client_silence_timeout);
    boost::beast::flat_buffer buffer(max_unparsed_request_bytes);
    bool keep_alive = true;
    while (keep_alive) {
        const socket_timeout timeout(core, socket, idle_timeout);
        http::request_parser<http::empty_body> parser;
        parser.header_limit(max_request_header_bytes);
        error_code error;
        co_await http::async_read(*socket, buffer, parser, capture_error(error));
        if (!error) {
            simple_response response = handler(parser.get());
            response.keep_alive(parser.get().keep_alive());
            response.prepare_payload();
            if (parser.get().method() == http::verb::head) {
                response.body().clear();
            }
            co_await http::async_write(*socket, response, capture_error(error));
        }
        keep_alive = !error && parser.get().keep_alive();
    }
    error_code ignored_error;
    socket->shutdown(tcp::socket::shutdown_send, ignored_error);
}

simple_response make_response(const simple_request& request, http::status status, std::string body) {
    simple_response response(status, request.version());
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(body);
    return response;
}

// Returns the request target: path and query.
std::string_view request_target(const simple_request& request) {
    return {request.target().data(), request.target().size()};
}

// A VM that is alive and accepts requests. The pointers refer to the settings or the table of peers.
struct live_vm {
    const std::string* name;
    const socket_address* address;
    lookup_candidate candidate;
};

// Returns this VM and its peers, as far as they are alive and accept requests; only those of the region if it
// is not null.
std::vector<live_vm> find_live_vms(const node_core& core, const std::string* region, instant now) {
    std::vector<live_vm> vms;
    const node_settings& own = core.settings;
    if (is_accepting(core) && (region == nullptr || own.region == *region)) {
        vms.push_back({&own.vm,
                       &own.caller_address,
                       {stable_hash(own.vm), stable_hash(own.availability_zone), own.cpu_millicores,
                        own.link_mbps, is_busy(core)}});
    }
    for (const auto& [name, peer] : core.peers.by_name) {
        if (is_alive(peer, now) && peer.accepting && (region == nullptr || peer.region == *region)) {
            vms.push_back({&name,
                           &peer.caller_address,
                           {stable_hash(name), stable_hash(peer.availability_zone), peer.cpu_millicores,
                            peer.link_mbps, peer.busy}});
        }
    }
    return vms;
}

// Returns whether the list may still be used.
bool is_current(const node_core& core, const lookup_list& list, instant now) {
    const auto is_live = [&core, now](const auto& vm) {
        if (vm.first == core.settings.vm) {
            return is_accepting(core);
        }
        const auto found = core.peers.by_name.find(vm.first);
        return found != core.peers.by_name.end() && is_alive(found->second, now) && found->second.accepting;
    };
    return now - list.chosen_at < lookup_choice_lifetime &&
           std::all_of(list.vms.begin(), list.vms.end(), is_live);
}

// Returns the requests per second that the VMs of the region read, of all services.
double region_demand(const node_core& core, const std::string& region, instant now) {
    double demand = 0;
    for (const auto& [service, stats] : core.services) {
        const auto meter = stats.demand_by_region.find(region);
        demand += meter == stats.demand_by_region.end() ? 0 : demand_rate(meter->second, now);
    }
    return demand;
}

// Chooses the VMs to list for the region again. Removes the region's list if it has no live VM.
void update_lookup_list(node_core& core, const std::string& region, instant now) {
    const std::vector<live_vm> vms = find_live_vms(core, &region, now);
    if (vms.empty()) {
        core.lookup_lists.erase(region);
        core.metrics.lookup_listed_vms.erase(region);
        return;
    }
    std::vector<lookup_candidate> candidates;
    candidates.reserve(vms.size());
    std::transform(vms.begin(), vms.end(), std::back_inserter(candidates),
                   [](const live_vm& vm) { return vm.candidate; });
    lookup_list& list = core.lookup_lists[region];
    const std::size_t previous_size = list.choice.listed.size();
    const double demand = region_demand(core, region, now);
    list.choice =
        choose_listed_vms(candidates, demand, measured_request_cost(core.cost_meter), list.choice, now);
    list.chosen_at = now;
    list.vms.clear();
    for (std::size_t i = 0; i < std::min(list.choice.listed.size(), max_addresses); ++i) {
        const live_vm& vm = vms[list.choice.listed[i]];
        list.vms.emplace_back(*vm.name, *vm.address);
    }
    core.metrics.lookup_listed_vms[region] = list.choice.listed.size();
    if (region == core.settings.region && list.choice.listed.size() != previous_size) {
        core.log.write(now, node_event::lookup_list_changed,
                       log_fields()
                           .add("region", region)
                           .add("listed", list.choice.listed.size())
                           .add("previous", previous_size)
                           .add("vms", vms.size())
                           .add("demand_per_s", std::lround(demand))
                           .add("capacity_per_s", std::lround(list.choice.capacity)));
    }
}

// Returns the gauges of the regions' shares of this VM's callers, and of the occupied slots, by service.
std::string render_region_shares(const node_core& core) {
    std::string text;
    for (const auto& [service, stats] : core.services) {
        for (const auto& [region, share] : stats.shares) {
            text += fmt::format("cassiaspan_region_share{{service=\"{}\",region=\"{}\"}} {:.3f}\n", service,
                                region, share);
        }
        for (const auto& [region, slots] : stats.occupied_slots) {
            text += fmt::format("cassiaspan_occupied_slots{{service=\"{}\",region=\"{}\"}} {:.1f}\n", service,
                                region, slots);
        }
    }
    return text;
}

} // namespace

asio::awaitable<void> serve_simple_requests(node_core& core, tcp::acceptor& acceptor,
                                            simple_handler handler) {
    connection_handler serve = [&core, handler = std::move(handler)](std::shared_ptr<tcp::socket> socket) {
        return serve_connection(core, std::move(socket), handler);
    };
    return accept_connections(core, acceptor, limit_connections(core, std::move(serve)));
}

simple_response answer_readiness_check(const node_core& core, const simple_request& request) {
    if (!core.platform.is_readiness_check(request_target(request))) {
        return make_response(request, http::status::not_found, "not found\n");
    }
    return is_accepting(core) ? make_response(request, http::status::ok, "ready\n")
                              : make_response(request, http::status::service_unavailable, "not ready\n");
}

std::vector<socket_address> choose_vm_addresses(node_core& core, const std::string& region) {
    const instant now = now_of(core);
    const auto known = core.lookup_lists.find(region);
    if (known == core.lookup_lists.end() || !is_current(core, known->second, now)) {
        update_lookup_list(core, region, now);
    }
    std::vector<socket_address> addresses;
    const auto found = core.lookup_lists.find(region);
    if (found == core.lookup_lists.end()) {
        for (const live_vm& vm : find_live_vms(core, nullptr, now)) {
            addresses.push_back(*vm.address);
        }
        addresses.resize(std::min(addresses.size(), max_addresses));
        return addresses;
    }
    for (const auto& [name, address] : found->second.vms) {
        addresses.push_back(address);
    }
    return addresses;
}

simple_response answer_lookup(node_core& core, const simple_request& request) {
    const auto query = core.platform.parse_lookup(request_target(request));
    if (!query) {
        return make_response(request, http::status::not_found, "not found\n");
    }
    const std::vector<socket_address> addresses = choose_vm_addresses(core, query->region);
    if (addresses.empty()) {
        return make_response(request, http::status::service_unavailable, "no VM accepts work\n");
    }
    simple_response response = make_response(
        request, http::status::ok,
        core.platform.render_lookup_reply(addresses, std::min(lookup_ttl, core.settings.max_lookup_ttl)));
    response.set(http::field::content_type, "application/json");
    return response;
}

simple_response answer_metrics(const node_core& core, const simple_request& request) {
    if (request_target(request) != "/metrics") {
        return make_response(request, http::status::not_found, "not found\n");
    }
    std::size_t store_bytes = 0;
    for (const auto& [key, item] : core.mirror.items) {
        store_bytes += key.size() + item.value.size();
    }
    const instant now = now_of(core);
    const auto store_age = std::chrono::floor<milliseconds>(now - store_known_until(core));
    return make_response(request, http::status::ok,
                         render(core.metrics) + render_store_age(store_age) +
                             render(core.memory, store_bytes) + render_region_shares(core) +
                             render_target_slowdowns(recent_speed_percents(core.targets, now)));
}

} // namespace cassiaspan
