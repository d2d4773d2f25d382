// Relaying: a VM that cannot reach the targets of a service passes a request to a peer that can. The peer
// listens for such requests on a port for VMs only, sends them to targets of its choice, and never relays
// again. The exchange is HTTP/1.1 like that with a target, with these headers besides:
//
//   request   Relay-Key          key of the serving incarnation, 16 hexadecimal digits
//             Relay-Service      service that the first VM has chosen
//             Relay-Workspace    workspace that the first VM has authenticated; absent if there is none
//             Relay-Config       version of the configuration of the first VM
//             Relay-Attempts     number of targets to which the request may still be sent
//   response  Relay-Target       id of the target that responded; absent in the peer's own replies
//             Relay-Attempts     in the peer's own replies: number of targets that the request was sent to;
//             absent
//                                if it is unknown
//             Relay-Refused      in replies of a peer that serves no requests for others at present
//
// The first VM authenticates the caller and takes the token from the workspace's bucket; the peer does
// neither. A reply of the peer itself that promises that no target has run the request is marked with the
// header by which targets say so.
#pragma once

#include "request_plan.h"

#include <string>
#include <vector>

namespace cassiaspan {

namespace relay_headers {
constexpr const char* key = "Relay-Key";
constexpr const char* service = "Relay-Service";
constexpr const char* workspace = "Relay-Workspace";
constexpr const char* config = "Relay-Config";
constexpr const char* attempts = "Relay-Attempts";
constexpr const char* target = "Relay-Target";
constexpr const char* refused = "Relay-Refused";
} // namespace relay_headers

// Requests that were passed to a peer are passed to another one at most once.
constexpr std::size_t max_relays_per_request = 2;

// Returns whether the name is one of relay_headers. Those of callers are not forwarded to targets, and those
// of peers not to callers.
[[nodiscard]] bool is_relay_header(boost::beast::string_view name);

// Returns whether the peer reports that it reaches targets of the service with this hash.
[[nodiscard]] bool reaches_service(const peer_vm& peer, std::uint32_t service_hash);

// Returns whether this VM currently cannot reach the targets of the service.
[[nodiscard]] bool is_out_of_reach(const node_core& core, const std::string& service);

// Returns a peer that is to serve the request, as a target to which attempts are made. Null if there is none:
// a peer qualifies while it accepts requests, reports that it reaches the service, lies in a region that may
// receive the request, and is not one of `tried`.
[[nodiscard]] target_ptr select_relay(node_core& core, const request_plan& plan,
                                      const std::vector<target_ptr>& tried);

// Adds the request's relay headers for the peer. `attempts_left` is the number of targets to which it may be
// sent.
void set_relay_headers(const node_core& core, http::request_header<>& head, const target_record& peer,
                       const request_plan& plan, std::size_t attempts_left);

// Removes the relay headers, so that the request can be sent to a target.
void clear_relay_headers(http::request_header<>& head);

// Removes expired connections to peers, and those to peers that are gone.
void remove_stale_relays(node_core& core);

// Reads the relay headers of a request that arrived on the port for VMs. Returns the reply if the request is
// refused: 403 "not_a_vm" without this incarnation's key, 400 "malformed_relay", 503 "relay_config" while
// this VM's configuration is older than that of the first VM, 503 "relay_out_of_reach" if this VM does not
// reach the service either, or 503 "relay_busy" if it has no room.
[[nodiscard]] tl::expected<relayed_request, local_reply> parse_relay_headers(const node_core& core,
                                                                             const http::fields& head);

} // namespace cassiaspan
