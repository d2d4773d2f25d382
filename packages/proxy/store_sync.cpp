#include "store_sync.h"

#include "accept_loop.h"
#include "change_source.h"
#include "fleet_hubs.h"
#include "h2_session.h"
#include "socket_timeout.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cassiaspan {

namespace {

constexpr const char* news_code = "news";
// The store tells all VMs that read it within a few milliseconds: a copy that is behind for longer does not
// get the store's answers.
constexpr milliseconds behind_time{250};
constexpr milliseconds check_interval{100};
constexpr milliseconds pull_timeout{600};
constexpr milliseconds peer_silence{1000};
constexpr std::size_t read_piece = std::size_t{16} * 1024;
// Streams of one peer's connection are few; an idle connection is closed after this time.
constexpr milliseconds idle_time{10'000};

std::string answer_news(const node_core& core, const std::string& question) {
    std::uint64_t revision = 0;
    std::from_chars(question.data(), question.data() + question.size(), revision);
    return make_changes_reply(core.mirror, revision).SerializeAsString();
}

asio::awaitable<bool> flush(tcp::socket& socket, h2_session& session) {
    const std::string output = session.take_output();
    std::size_t sent = 0;
    while (sent < output.size()) {
        error_code error;
        sent += co_await socket.async_write_some(asio::buffer(output.data() + sent, output.size() - sent),
                                                 capture_error(error));
        if (error) {
            co_return false;
        }
    }
    co_return true;
}

// Reads once and hands the bytes to the session.
asio::awaitable<bool> receive(tcp::socket& socket, h2_session& session) {
    std::array<char, read_piece> piece; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    error_code error;
    const std::size_t count = co_await socket.async_read_some(asio::buffer(piece), capture_error(error));
    co_return !error && session.receive({piece.data(), count});
}

asio::awaitable<void> serve_peer(node_core& core, std::shared_ptr<tcp::socket> socket) {
    set_tcp_options(*socket, peer_silence);
    std::unique_ptr<h2_session> session;
    session = h2_session::make_server([&core, &session](std::int32_t stream, const peer_message& question) {
        if (question.code == news_code) {
            session->submit_reply(stream, {news_code, answer_news(core, question.body)});
        }
    });
    const socket_timeout timeout(core, socket, idle_time);
    bool good = true;
    while (good) {
        good = co_await receive(*socket, *session);
        if (good) {
            good = co_await flush(*socket, *session);
        }
    }
}

const peer_vm* choose_source(node_core& core) {
    const instant now = now_of(core);
    std::vector<const peer_vm*> peers;
    std::vector<change_source> sources;
    for (const auto& entry : core.peers.by_name) {
        const peer_vm& peer = entry.second;
        if (is_alive(peer, now)) {
            peers.push_back(&peer);
            sources.push_back({peer.store_revision, peer.region == core.settings.region});
        }
    }
    const std::optional<std::size_t> chosen =
        choose_change_source(sources, core.mirror.revision, core.random());
    if (!chosen.has_value()) {
        return nullptr;
    }
    return peers[chosen.value()];
}

asio::awaitable<bool> pull_from(node_core& core, socket_address address) {
    auto socket = std::make_shared<tcp::socket>(core.context);
    const socket_timeout timeout(core, socket, pull_timeout);
    error_code error;
    co_await socket->async_connect(to_tcp_endpoint(address), capture_error(error));
    std::string answer;
    bool answered = false;
    if (!error) {
        set_tcp_options(*socket, peer_silence);
        const auto session =
            h2_session::make_client([&answer, &answered](std::int32_t /*stream*/, peer_message message) {
                answer = std::move(message.body);
                answered = true;
            });
        bool good = session->submit_request({news_code, std::to_string(core.mirror.revision)}) >= 0;
        while (good && !answered) {
            good = co_await flush(*socket, *session);
            if (good) {
                good = co_await receive(*socket, *session);
            }
        }
    }
    schema::StoreChanges news;
    if (!answered || !news.ParseFromString(answer)) {
        co_return false;
    }
    apply_changes_reply(core, news);
    co_return true;
}

} // namespace

schema::StoreChanges make_changes_reply(const store_mirror& mirror, std::uint64_t revision) {
    schema::StoreChanges news;
    news.set_revision(mirror.revision);
    news.set_complete(revision < mirror.pruned_revision);
    for (const store_change& change : changes_since(mirror, news.complete() ? 0 : revision)) {
        schema::StoreChange& told = *news.add_changes();
        told.set_key(change.key);
        told.set_value(change.item.value);
        told.set_revision(change.item.revision);
        told.set_removed(change.item.removed);
    }
    return news;
}

void apply_changes_reply(node_core& core, const schema::StoreChanges& news) {
    if (news.revision() <= core.mirror.revision) {
        return;
    }
    std::vector<store_change> changes;
    for (const schema::StoreChange& told : news.changes()) {
        changes.push_back({told.key(), {told.value(), told.revision(), told.removed()}});
    }
    std::vector<store_change> fresh;
    if (news.complete()) {
        fresh = merge_snapshot(core.mirror, changes, news.revision());
    } else {
        fresh = merge_changes(core.mirror, changes);
        core.mirror.revision = news.revision();
    }
    ++core.metrics.news_pulled;
    apply_store_changes(core, fresh);
}

asio::awaitable<void> serve_store_sync(node_core& core, tcp::acceptor& acceptor) {
    return accept_connections(core, acceptor, [&core](std::shared_ptr<tcp::socket> socket) {
        return serve_peer(core, std::move(socket));
    });
}

asio::awaitable<void> pull_store_changes(node_core& core) {
    std::optional<instant> behind_since;
    for (;;) {
        co_await sleep_for(core.context, check_interval);
        const peer_vm* source = choose_source(core);
        if (source == nullptr) {
            behind_since.reset();
            continue;
        }
        const instant now = now_of(core);
        behind_since = behind_since.value_or(now);
        if (core.store_is_unavailable || !reads_store_directly(core) || now - *behind_since >= behind_time) {
            const std::string name = source->name;
            const socket_address address = source->peer_address;
            const bool good = co_await pull_from(core, address);
            core.log.write(now_of(core), node_event::peer_changed,
                           log_fields()
                               .add("peer", name)
                               .add("state", good ? "news_pulled" : "news_failed")
                               .add("store_revision", core.mirror.revision));
            behind_since.reset();
        }
    }
}

} // namespace cassiaspan
