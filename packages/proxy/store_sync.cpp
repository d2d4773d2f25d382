#include "store_sync.h"

#include "accept_loop.h"
#include "background_task.h"
#include "change_source.h"
#include "fleet_hubs.h"
#include "h2_session.h"
#include "pull_pacing.h"
#include "scoped_count.h"
#include "socket_timeout.h"

#include <algorithm>
#include <array>
#include <functional>

namespace cassiaspan {

namespace {

// Value of the messages' `code` field: marks requests for store changes and their replies.
constexpr const char* changes_code = "news";
// The store notifies all watching VMs within a few milliseconds; a mirror that lags for longer is not
// receiving the store's responses.
constexpr milliseconds max_mirror_lag{250};
constexpr milliseconds sync_check_interval{100};
// A request that makes no progress for this time is abandoned; connecting counts as one step. Other peers are
// asked long before that: see may_start_pull(). On a full link, a round trip may take some seconds.
constexpr milliseconds pull_timeout{10'000};
constexpr milliseconds peer_socket_timeout{10'000};
// Limits of a connection's requests, which consist of a position. Each has a reply that holds up to all
// items.
constexpr std::size_t max_request_bytes = 1024;
constexpr std::uint32_t max_open_requests = 4;
// Limit of a reply, which protects the memory of the VM. A reply holds all items of the store if the
// requesting VM has none of them: sixty of the largest ones.
constexpr std::size_t max_reply_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = std::size_t{16} * 1024;
// Bytes of replies that are taken out of a session at a time.
constexpr std::size_t output_chunk_bytes = std::size_t{16} * 1024;
// An incoming connection is closed after this time, unless the peer has meanwhile taken so many bytes of
// replies. A peer opens only a few streams on one.
constexpr milliseconds connection_time_limit{20'000};
constexpr std::size_t renewing_bytes = std::size_t{64} * 1024;

// The last reply to a peer, for others that get the same one while it is being sent.
struct shared_reply {
    std::weak_ptr<const std::string> text;
};

// Returns the serialized reply to a serialized request. A request that cannot be parsed gets all changes.
// While the mirror is not verified, the reply is empty and thereby not newer than any mirror.
std::shared_ptr<const std::string> serialize_changes_reply(const node_core& core, shared_reply& last,
                                                           const std::string& serialized_request) {
    schema::StoreChangesRequest request;
    const bool is_valid = request.ParseFromString(serialized_request);
    const store_position position =
        is_valid ? store_position{request.epoch(), request.revision()} : store_position{};
    if (!core.mirror_is_verified) {
        return std::make_shared<const std::string>();
    }
    std::string text = make_changes_reply(core.mirror, position).SerializeAsString();
    // Compared by its bytes: items may also be removed without a new position of the mirror.
    auto shared = last.text.lock();
    if (!shared || *shared != text) {
        shared = std::make_shared<const std::string>(std::move(text));
        last.text = shared;
    }
    return shared;
}

// Returns the position whose later changes are to be requested from a peer: zero for all changes, if the
// peer's mirror or this VM's may contain items that were removed.
store_position choose_requested_position(const node_core& core, bool peer_is_verified) {
    const bool needs_all_changes =
        !peer_is_verified || !core.mirror_is_verified || has_items_ahead(core.mirror);
    return needs_all_changes ? store_position{} : core.mirror.position;
}

// Returns the serialized request for the changes after the position.
std::string serialize_changes_request(store_position position) {
    schema::StoreChangesRequest request;
    request.set_epoch(position.epoch);
    request.set_revision(position.revision);
    return request.SerializeAsString();
}

// The time limit of an incoming connection, which starts anew as the peer takes replies.
class reply_time_limit {
public:
    reply_time_limit(node_core& core_in, std::shared_ptr<tcp::socket> socket_in)
        : core(core_in), socket(std::move(socket_in)) {
        this->start();
    }
    void record_sent(std::size_t bytes) {
        this->sent_bytes += bytes;
        if (this->sent_bytes >= renewing_bytes) {
            this->start();
        }
    }

private:
    void start() {
        this->sent_bytes = 0;
        this->timeout.emplace(this->core, this->socket, connection_time_limit);
    }

    node_core& core;
    std::shared_ptr<tcp::socket> socket;
    std::size_t sent_bytes = 0;
    std::optional<socket_timeout> timeout;
};

// Called with the number of bytes of each write.
using progress_observer = std::function<void(std::size_t bytes)>;

// Writes the session's pending output. Returns false if the connection failed.
asio::awaitable<bool> send_output(tcp::socket& socket, h2_session& session,
                                  progress_observer observer = nullptr) {
    for (;;) {
        const std::string output = session.take_output(output_chunk_bytes);
        if (output.empty()) {
            co_return true;
        }
        std::size_t sent = 0;
        while (sent < output.size()) {
            error_code error;
            const std::size_t written = co_await socket.async_write_some(
                asio::buffer(output.data() + sent, output.size() - sent), capture_error(error));
            if (error) {
                co_return false;
            }
            sent += written;
            if (observer) {
                observer(written);
            }
        }
    }
}

// Reads once from the socket and passes the bytes to the session. Returns their number; 0 if the connection
// failed or the peer violated the protocol.
asio::awaitable<std::size_t> receive_input(tcp::socket& socket, h2_session& session) {
    // One buffer for all connections: none holds it while it waits.
    static std::array<char, read_chunk_bytes> chunk;
    error_code error = asio::error::would_block;
    std::size_t count = 0;
    error_code ignored;
    // Fails for a pull that was abandoned meanwhile; so does the wait.
    socket.non_blocking(true, ignored);
    while (error == asio::error::would_block) {
        co_await socket.async_wait(tcp::socket::wait_read, capture_error(error));
        if (!error) {
            count = socket.read_some(asio::buffer(chunk), error);
        }
    }
    const bool is_ok = !error && session.receive({chunk.data(), count});
    co_return is_ok ? count : 0;
}

// Serves requests on one connection until it fails, times out or gives way to others.
asio::awaitable<void> serve_peer(node_core& core, std::shared_ptr<shared_reply> last_reply,
                                 std::shared_ptr<tcp::socket> socket) {
    peer_connections& connections = core.memory.store_readers;
    const waiting_caller peer{remote_address(*socket), caller_stage::response, true};
    if (!admit_peer_connection(core, connections, peer.source)) {
        co_return;
    }
    const scoped_count open_connection(connections.open);
    set_tcp_options(*socket, peer_socket_timeout);
    std::unique_ptr<h2_session> session;
    session = h2_session::make_server(
        [&core, &session, &last_reply](std::int32_t stream, const peer_message& request) {
            if (request.code == changes_code) {
                session->submit_reply(stream, changes_code,
                                      serialize_changes_reply(core, *last_reply, request.body));
            }
        },
        max_request_bytes, max_open_requests);
    reply_time_limit time_limit(core, socket);
    const auto close = [&socket] {
        error_code ignored;
        socket->close(ignored);
    };
    bool is_ok = true;
    while (is_ok) {
        std::size_t count = 0;
        {
            const evictable waiting(connections.idle, peer, now_of(core), {}, close);
            count = co_await receive_input(*socket, *session);
        }
        is_ok = count > 0;
        if (is_ok) {
            evictable writing(connections.slow_readers, peer, now_of(core), {}, close);
            progress_observer observer = [&core, &writing, &time_limit](std::size_t bytes) {
                writing.record_progress(bytes, now_of(core));
                time_limit.record_sent(bytes);
            };
            is_ok = co_await send_output(*socket, *session, std::move(observer));
        }
    }
}

// A pending request for changes.
struct store_pull {
    std::string peer;
    std::shared_ptr<tcp::socket> socket;
    instant started_at;
    instant last_progress;
    bool is_connected = false;
    // The peer announces only a verified mirror.
    bool peer_is_verified = false;
    // All changes were requested.
    bool has_all_changes = false;
    std::size_t received_bytes = 0;
    // The changes have arrived from elsewhere, or the peer is silent.
    bool is_obsolete = false;
};

// The pending requests, and the last peer whose request failed.
struct pull_state {
    std::vector<std::shared_ptr<store_pull>> pending;
    std::string failed_peer;
};

bool may_start_another_pull(const pull_state& pulls, instant now) {
    std::vector<instant> last_progress;
    last_progress.reserve(pulls.pending.size());
    for (const auto& pull : pulls.pending) {
        last_progress.push_back(pull->last_progress);
    }
    return may_start_pull(last_progress, now);
}

bool has_pending_pull(const pull_state& pulls, const std::string& peer) {
    return std::any_of(pulls.pending.begin(), pulls.pending.end(),
                       [&peer](const auto& pull) { return pull->peer == peer; });
}

// Returns whether changes may be requested from the peer. One whose mirror is not verified is the last resort
// of a VM that cannot reach the store.
bool is_permitted_source(const node_core& core, const peer_vm& peer) {
    return is_alive(peer, now_of(core)) && (peer.announces_verified_mirror || core.store_is_unavailable);
}

// Returns the peer if changes may be requested from it and it has a newer mirror, otherwise null.
const peer_vm* find_sync_source(const node_core& core, const std::string& name) {
    const auto found = core.peers.by_name.find(name);
    const bool is_usable = found != core.peers.by_name.end() && is_permitted_source(core, found->second) &&
                           found->second.mirror_position > core.mirror.position;
    return is_usable ? &found->second : nullptr;
}

// Returns a permitted source with a newer mirror that has no pending request, and whose mirror is verified or
// not; null if there is none. The peer whose request failed last is not chosen.
const peer_vm* choose_sync_source_among(node_core& core, const pull_state& pulls, bool verified) {
    std::vector<const peer_vm*> peers;
    std::vector<change_source> sources;
    for (const auto& entry : core.peers.by_name) {
        const peer_vm& peer = entry.second;
        if (peer.announces_verified_mirror == verified && is_permitted_source(core, peer) &&
            !has_pending_pull(pulls, peer.name) && peer.name != pulls.failed_peer) {
            peers.push_back(&peer);
            sources.push_back({peer.mirror_position, peer.region == core.settings.region});
        }
    }
    const std::optional<std::size_t> chosen =
        choose_change_source(sources, core.mirror.position, core.random());
    return chosen.has_value() ? peers[chosen.value()] : nullptr;
}

// Returns a permitted source with a newer mirror that has no pending request; null if there is none. Those
// with a verified mirror come first. The peer whose request failed last is only chosen if there is no other.
const peer_vm* choose_sync_source(node_core& core, const pull_state& pulls) {
    for (const bool verified : {true, false}) {
        if (const peer_vm* chosen = choose_sync_source_among(core, pulls, verified)) {
            return chosen;
        }
    }
    return has_pending_pull(pulls, pulls.failed_peer) ? nullptr : find_sync_source(core, pulls.failed_peer);
}

// Ends the requests to peers that are silent or not known to be ahead any more.
void abandon_obsolete_pulls(const node_core& core, const pull_state& pulls) {
    for (const auto& pull : pulls.pending) {
        if (find_sync_source(core, pull->peer) == nullptr) {
            pull->is_obsolete = true;
            error_code ignored;
            pull->socket->close(ignored);
        }
    }
}

// Requests the missing changes from the peer at `address`. Returns the reply's body; nullopt if the peer
// cannot be reached, makes no progress for `pull_timeout`, or violates the protocol.
asio::awaitable<std::optional<std::string>> request_changes(node_core& core, store_pull& pull,
                                                            socket_address address) {
    std::optional<socket_timeout> timeout(std::in_place, core, pull.socket, pull_timeout);
    std::optional<std::string> reply;
    error_code error;
    co_await pull.socket->async_connect(to_tcp_endpoint(address), capture_error(error));
    if (error) {
        co_return reply;
    }
    set_tcp_options(*pull.socket, peer_socket_timeout);
    pull.is_connected = true;
    const auto session = h2_session::make_client(
        [&reply](std::int32_t /*stream*/, peer_message message) { reply = std::move(message.body); },
        max_reply_bytes);
    const store_position requested = choose_requested_position(core, pull.peer_is_verified);
    pull.has_all_changes = requested == store_position{};
    bool is_ok = session->submit_request({changes_code, serialize_changes_request(requested)}) >= 0;
    while (is_ok && !reply) {
        pull.last_progress = now_of(core);
        timeout.emplace(core, pull.socket, pull_timeout);
        is_ok = co_await send_output(*pull.socket, *session);
        if (is_ok) {
            const std::size_t count = co_await receive_input(*pull.socket, *session);
            pull.received_bytes += count;
            is_ok = count > 0;
        }
    }
    co_return reply;
}

// Requests the missing changes and applies them.
asio::awaitable<void> pull_changes_from(node_core& core, std::shared_ptr<pull_state> pulls,
                                        std::shared_ptr<store_pull> pull, socket_address address) {
    const std::optional<std::string> body = co_await request_changes(core, *pull, address);
    schema::StoreChanges reply;
    const bool is_ok = body && reply.ParseFromString(*body);
    if (is_ok) {
        apply_changes_reply(core, reply, pull->has_all_changes);
        abandon_obsolete_pulls(core, *pulls);
        pulls->failed_peer.clear();
    } else if (!pull->is_obsolete) {
        pulls->failed_peer = pull->peer;
    }
    const instant now = now_of(core);
    const auto duration = std::chrono::floor<milliseconds>(now - pull->started_at);
    core.log.write(now, node_event::peer_changed,
                   log_fields()
                       .add("peer", pull->peer)
                       .add("state", is_ok               ? "news_pulled"
                                     : pull->is_obsolete ? "news_obsolete"
                                                         : "news_failed")
                       .add("connected", pull->is_connected ? 1 : 0)
                       .add("received_bytes", pull->received_bytes)
                       .add("duration_ms", duration.count())
                       .add("store_epoch", core.mirror.position.epoch)
                       .add("store_revision", core.mirror.position.revision));
}

} // namespace

schema::StoreChanges make_changes_reply(const store_mirror& mirror, store_position position) {
    schema::StoreChanges reply;
    reply.set_epoch(mirror.position.epoch);
    reply.set_revision(mirror.position.revision);
    reply.set_verified(true);
    reply.set_complete(!knows_changes_since(mirror, position));
    for (const store_change& change : changes_since(mirror, reply.complete() ? store_position{} : position)) {
        schema::StoreChange& encoded = *reply.add_changes();
        encoded.set_key(change.key);
        encoded.set_value(change.item.value);
        encoded.set_epoch(change.item.position.epoch);
        encoded.set_revision(change.item.position.revision);
        encoded.set_removed(change.item.removed);
    }
    return reply;
}

void apply_changes_reply(node_core& core, const schema::StoreChanges& reply, bool has_all_changes) {
    const store_position position{reply.epoch(), reply.revision()};
    const bool is_snapshot = reply.complete() || has_all_changes;
    if (position <= core.mirror.position || (!reply.verified() && !is_snapshot)) {
        return;
    }
    std::vector<store_change> changes;
    for (const schema::StoreChange& encoded : reply.changes()) {
        const store_position change_position{encoded.epoch(), encoded.revision()};
        changes.push_back({encoded.key(), {encoded.value(), change_position, encoded.removed()}});
    }
    ++core.metrics.news_pulled;
    ++core.metrics.caught_up_by_means["pull"];
    merge_store_read(core, {changes, position, is_snapshot, reply.verified()});
}

asio::awaitable<void> serve_store_sync(node_core& core, tcp::acceptor& acceptor) {
    auto last_reply = std::make_shared<shared_reply>();
    return accept_connections(
        core, acceptor, [&core, last_reply = std::move(last_reply)](std::shared_ptr<tcp::socket> socket) {
            return serve_peer(core, last_reply, std::move(socket));
        });
}

asio::awaitable<void> pull_store_changes(node_core& core) {
    const auto pulls = std::make_shared<pull_state>();
    std::optional<instant> lagging_since;
    for (;;) {
        co_await sleep_for(core.context, sync_check_interval);
        const instant now = now_of(core);
        // A request that has ended, also by an exception, releases its state.
        std::erase_if(pulls->pending, [](const auto& pull) { return pull.use_count() == 1; });
        abandon_obsolete_pulls(core, *pulls);
        const peer_vm* source = choose_sync_source(core, *pulls);
        if (source == nullptr) {
            lagging_since.reset();
            continue;
        }
        lagging_since = lagging_since.value_or(now);
        const bool is_due = core.store_is_unavailable || !reads_store_directly(core) ||
                            now - *lagging_since >= max_mirror_lag;
        if (is_due && may_start_another_pull(*pulls, now)) {
            auto pull = std::make_shared<store_pull>();
            pull->peer = source->name;
            pull->socket = std::make_shared<tcp::socket>(core.context);
            pull->peer_is_verified = source->announces_verified_mirror;
            pull->started_at = now;
            pull->last_progress = now;
            pulls->pending.push_back(pull);
            spawn_task(core, "store sync",
                       pull_changes_from(core, pulls, std::move(pull), source->peer_address));
            lagging_since.reset();
        }
    }
}

} // namespace cassiaspan
