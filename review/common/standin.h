// Stand-ins of the review cases: the platform's store, servers, clients, and the processes of
// cassiaspan-node. Blocking sockets and one thread for each connection; only loopback addresses are used.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;

// Exit codes of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

// Thrown if the case cannot be run, as when a program is missing or a port cannot be bound.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline const steady::time_point program_start = steady::now();

// Seconds since the program started.
inline double now_s() {
    return std::chrono::duration<double>(steady::now() - program_start).count();
}

inline void sleep_s(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// The record of a run: what was sent, answered and run, one line each.
class record_file {
public:
    explicit record_file(const std::string& path) : file(path, std::ios::trunc) {
        if (!this->file) {
            throw cannot_run("cannot write " + path);
        }
    }

    void line(const std::string& text) {
        const std::lock_guard lock(this->mutex);
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%9.3f ", now_s());
        this->file << time.data() << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// The head of an HTTP message. Header names are in lower case.
struct http_head {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;

    [[nodiscard]] std::optional<std::string> find(const std::string& name) const {
        for (const auto& [each, value] : this->headers) {
            if (each == name) {
                return value;
            }
        }
        return std::nullopt;
    }
    [[nodiscard]] std::string get(const std::string& name) const { return this->find(name).value_or(""); }
    // The word of the first line at `index`.
    [[nodiscard]] std::string word(std::size_t index) const {
        std::istringstream words(this->first_line);
        std::string text;
        for (std::size_t i = 0; i <= index; ++i) {
            words >> text;
        }
        return text;
    }
};

enum class read_status { ok, closed, reset, timed_out, malformed };

inline const char* to_text(read_status status) {
    constexpr std::array<const char*, 5> names{"ok", "closed", "reset", "timed out", "malformed"};
    return names[static_cast<std::size_t>(status)];
}

// A TCP connection with a read buffer. Closes the socket when it is destroyed.
class connection {
public:
    explicit connection(int descriptor_in) : descriptor(descriptor_in) {
        const int on = 1;
        ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    void close() {
        const int old = this->descriptor.exchange(-1);
        if (old >= 0) {
            ::close(old);
        }
    }
    // Ends pending reads and writes of other threads.
    void shut_down() {
        const int current = this->descriptor;
        if (current >= 0) {
            ::shutdown(current, SHUT_RDWR);
        }
    }
    [[nodiscard]] int socket() const { return this->descriptor; }

    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads once. `until` is in seconds since the start of the program.
    read_status fill(double until) {
        pollfd entry{this->descriptor, POLLIN, 0};
        const double left = until - now_s();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return read_status::timed_out;
        }
        std::array<char, 65536> chunk{};
        const ssize_t count = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
        if (count == 0) {
            return read_status::closed;
        }
        if (count < 0) {
            return read_status::reset;
        }
        this->buffer.append(chunk.data(), static_cast<std::size_t>(count));
        return read_status::ok;
    }

    read_status read_line(std::string& line, double until) {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            const read_status status = this->fill(until);
            if (status != read_status::ok) {
                return status;
            }
        }
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return read_status::ok;
    }

    read_status read_head(http_head& head, double until) {
        head = {};
        std::string line;
        read_status status = this->read_line(head.first_line, until);
        while (status == read_status::ok) {
            status = this->read_line(line, until);
            if (status != read_status::ok || line.empty()) {
                break;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return read_status::malformed;
            }
            std::size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ') {
                ++begin;
            }
            head.headers.emplace_back(lower(line.substr(0, colon)), line.substr(begin));
        }
        return status;
    }

    read_status read_bytes(std::string& out, std::size_t count, double until) {
        while (this->buffer.size() < count) {
            const read_status status = this->fill(until);
            if (status != read_status::ok) {
                return status;
            }
        }
        out += this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return read_status::ok;
    }

    // Reads the body that belongs to the head. `ends_with_connection`: a message without a length lasts until
    // the connection is closed.
    read_status read_body(const http_head& head, std::string& body, double until, bool ends_with_connection) {
        body.clear();
        if (const auto length = head.find("content-length")) {
            return this->read_bytes(body, std::stoul(*length), until);
        }
        if (lower(head.get("transfer-encoding")) == "chunked") {
            for (;;) {
                std::string line;
                read_status status = this->read_line(line, until);
                if (status != read_status::ok) {
                    return status;
                }
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                if (size > 0) {
                    status = this->read_bytes(body, size, until);
                }
                std::string end;
                if (status == read_status::ok) {
                    status = this->read_line(end, until);
                }
                if (status != read_status::ok || size == 0) {
                    return status;
                }
            }
        }
        if (!ends_with_connection) {
            return read_status::ok;
        }
        for (;;) {
            const read_status status = this->fill(until);
            if (status == read_status::closed) {
                body = std::exchange(this->buffer, "");
                return read_status::ok;
            }
            if (status != read_status::ok) {
                return status;
            }
        }
    }

    [[nodiscard]] bool has_buffered_bytes() const { return !this->buffer.empty(); }
    [[nodiscard]] const std::string& buffered() const { return this->buffer; }

private:
    std::atomic<int> descriptor;
    std::string buffer;
};

using connection_ptr = std::shared_ptr<connection>;

inline sockaddr_in to_sockaddr(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Connects to a loopback address; returns null if that fails.
inline connection_ptr connect_to(const std::string& ip, int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_sockaddr(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<connection>(descriptor);
}

// Accepts connections on a free port, or on the given one, and serves each in a thread of its own.
class listener {
public:
    using handler = std::function<void(connection_ptr)>;

    listener(const std::string& ip_in, int port_in, handler serve_in) : serve(std::move(serve_in)) {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = to_sockaddr(ip_in, port_in);
        socklen_t size = sizeof(address);
        if (::bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(this->descriptor, 512) != 0) {
            throw cannot_run("cannot listen on " + ip_in);
        }
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        this->bound_port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->accept_loop(); });
    }
    ~listener() { this->stop(); }
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    [[nodiscard]] int port() const { return this->bound_port; }

    // Stops listening and ends all connections, as the end of a process does.
    void stop() {
        if (this->stopped.exchange(true)) {
            return;
        }
        ::shutdown(this->descriptor, SHUT_RDWR);
        this->thread.join();
        ::close(this->descriptor);
        this->end_connections();
        while (this->running > 0) {
            sleep_s(0.005);
        }
    }
    void end_connections() {
        const std::lock_guard lock(this->mutex);
        for (const auto& each : this->connections) {
            each->shut_down();
        }
    }

private:
    void accept_loop() {
        while (!this->stopped) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (!this->stopped) {
                    sleep_s(0.002);
                }
                continue;
            }
            auto peer = std::make_shared<connection>(accepted);
            {
                const std::lock_guard lock(this->mutex);
                this->connections.insert(peer);
            }
            ++this->running;
            std::thread([this, peer] {
                this->serve(peer);
                {
                    const std::lock_guard lock(this->mutex);
                    this->connections.erase(peer);
                }
                peer->close();
                --this->running;
            }).detach();
        }
    }

    handler serve;
    int descriptor = -1;
    int bound_port = 0;
    std::atomic<bool> stopped{false};
    std::atomic<int> running{0};
    std::mutex mutex;
    std::set<connection_ptr> connections;
    std::thread thread;
};

inline std::string encode_base64(const std::string& bytes) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return text;
}

inline std::string decode_query(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// The platform's metadata store, as PROTOCOL.md describes it. Values are kept as the base64 text on the wire.
class store_standin {
public:
    explicit store_standin(record_file& record_in) : record(record_in) {
        this->janitor = std::thread([this] { this->expire_leases(); });
    }
    ~store_standin() {
        this->stopping = true;
        this->changed.notify_all();
        this->janitor.join();
        for (auto& each : this->doors) {
            each->door->stop();
        }
    }
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;
    store_standin(store_standin&&) = delete;
    store_standin& operator=(store_standin&&) = delete;

    // Starts an address of the store for one machine, so that the machine's path to the store can be cut.
    // Returns its number.
    std::size_t add_door(const std::string& ip) {
        auto entry = std::make_unique<door_state>();
        door_state* const state = entry.get();
        state->door = std::make_unique<listener>(
            ip, 0, [this, state](const connection_ptr& peer) { this->serve(*state, peer); });
        this->doors.push_back(std::move(entry));
        return this->doors.size() - 1;
    }
    [[nodiscard]] int port(std::size_t door) const { return this->doors[door]->door->port(); }
    // While the path is cut, nothing passes in either direction and nothing is reset.
    void set_cut(std::size_t door, bool cut) { this->doors[door]->cut = cut; }

    // A write by an operator or a server. The call returns when the store has acknowledged it.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(this->mutex);
        this->apply_put(key, encode_base64(value), 0);
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(this->mutex);
        this->apply_remove(key);
    }

private:
    struct door_state {
        std::unique_ptr<listener> door;
        std::atomic<bool> cut{false};
    };
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease_state {
        double ends = 0;
        double ttl = 0;
    };

    void apply_put(const std::string& key, const std::string& value, std::uint64_t lease) {
        item& entry = this->items[key];
        ++this->revision;
        entry.created = entry.revision == 0 ? this->revision : entry.created;
        entry.revision = this->revision;
        entry.value = value;
        entry.lease = lease;
        this->events.push_back({{"key", key},
                                {"value", value},
                                {"revision", this->revision},
                                {"create-revision", entry.created},
                                {"lease", lease}});
        this->changed.notify_all();
    }
    void apply_remove(const std::string& key) {
        if (this->items.erase(key) > 0) {
            ++this->revision;
            this->events.push_back({{"key", key}, {"revision", this->revision}, {"removed", true}});
            this->changed.notify_all();
        }
    }
    void expire_leases() {
        while (!this->stopping) {
            sleep_s(0.05);
            const std::lock_guard lock(this->mutex);
            for (auto each = this->leases.begin(); each != this->leases.end();) {
                if (each->second.ends > now_s()) {
                    ++each;
                    continue;
                }
                std::vector<std::string> ended;
                for (const auto& [key, entry] : this->items) {
                    if (entry.lease == each->first) {
                        ended.push_back(key);
                    }
                }
                for (const std::string& key : ended) {
                    this->apply_remove(key);
                }
                each = this->leases.erase(each);
            }
        }
    }
    json describe(const std::string& key, const item& entry) const {
        return {{"key", key},
                {"value", entry.value},
                {"revision", entry.revision},
                {"create-revision", entry.created},
                {"lease", entry.lease}};
    }

    static std::map<std::string, std::string> parse_query(const std::string& target) {
        std::map<std::string, std::string> query;
        const std::size_t mark = target.find('?');
        std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string pair; std::getline(pairs, pair, '&');) {
            const std::size_t equal = pair.find('=');
            query[pair.substr(0, equal)] =
                equal == std::string::npos ? "" : decode_query(pair.substr(equal + 1));
        }
        return query;
    }

    // Answers one call. Returns the status and the body.
    std::pair<int, json> answer(const http_head& head, const std::string& body) {
        const std::string method = head.word(0);
        const std::string target = head.word(1);
        const std::string path = target.substr(0, target.find('?'));
        auto query = parse_query(target);
        std::unique_lock lock(this->mutex);
        if (path == "/cassiaspan/kv-range") {
            json list = json::array();
            bool more = false;
            for (const auto& [key, entry] : this->items) {
                if (key.rfind(query["prefix"], 0) != 0 || key <= query["after"]) {
                    continue;
                }
                if (list.size() >= 500) {
                    more = true;
                    break;
                }
                list.push_back(this->describe(key, entry));
            }
            return {200, {{"items", list}, {"has-more", more}, {"at", this->revision}}};
        }
        if (path == "/cassiaspan/kv-watch") {
            const std::uint64_t after = std::stoull(query["after"]);
            const double until = now_s() + std::stod(query["wait-ms"]) / 1000;
            while (this->revision <= after && now_s() < until && !this->stopping) {
                this->changed.wait_for(lock, std::chrono::milliseconds(50));
            }
            json list = json::array();
            for (const json& event : this->events) {
                if (event["revision"].get<std::uint64_t>() > after &&
                    event["key"].get<std::string>().rfind(query["prefix"], 0) == 0) {
                    list.push_back(event);
                }
            }
            return {200, {{"events", list}, {"at", this->revision}}};
        }
        if (path == "/cassiaspan/kv-lease") {
            const double ttl = json::parse(body).at("ttl-ms").get<double>() / 1000;
            this->leases[++this->last_lease] = {now_s() + ttl, ttl};
            return {200, {{"lease", this->last_lease}, {"ttl-ms", static_cast<int>(ttl * 1000)}}};
        }
        if (path.rfind("/cassiaspan/kv-keep/", 0) == 0) {
            const auto found = this->leases.find(std::stoull(path.substr(20)));
            if (found == this->leases.end()) {
                return {404, json::object()};
            }
            found->second.ends = now_s() + found->second.ttl;
            return {200, {{"ttl-ms", static_cast<int>(found->second.ttl * 1000)}}};
        }
        if (path == "/cassiaspan/kv-txn") {
            const json call = json::parse(body);
            json failed = json::array();
            bool holds = true;
            for (const json& row : call.at("precondition")) {
                const std::string key = row.at("key");
                const auto found = this->items.find(key);
                const std::uint64_t at = found == this->items.end() ? 0 : found->second.revision;
                holds = holds && at == row.at("revision").get<std::uint64_t>();
                if (found != this->items.end()) {
                    failed.push_back(this->describe(key, found->second));
                }
            }
            if (!holds) {
                return {412, {{"items", failed}}};
            }
            for (const json& row : call.at("puts")) {
                const std::uint64_t lease = row.value("lease", std::uint64_t{0});
                if (lease != 0 && this->leases.count(lease) == 0) {
                    return {404, json::object()};
                }
            }
            for (const json& row : call.at("puts")) {
                this->apply_put(row.at("key"), row.at("value"), row.value("lease", std::uint64_t{0}));
            }
            for (const json& key : call.at("deletes")) {
                this->apply_remove(key);
            }
            return {200, {{"revision", this->revision}}};
        }
        return {404, json::object()};
    }

    void wait_for_path(const door_state& state) const {
        while (state.cut && !this->stopping) {
            sleep_s(0.005);
        }
    }

    void serve(door_state& state, const connection_ptr& peer) {
        http_head head;
        std::string body;
        while (!this->stopping) {
            const read_status status = peer->read_head(head, now_s() + 0.2);
            if (status == read_status::timed_out && !peer->has_buffered_bytes()) {
                continue;
            }
            if (status != read_status::ok ||
                peer->read_body(head, body, now_s() + 5, false) != read_status::ok) {
                return;
            }
            this->wait_for_path(state);
            const auto [code, reply] = this->answer(head, body);
            this->wait_for_path(state);
            const std::string text = reply.dump();
            if (!peer->write("HTTP/1.1 " + std::to_string(code) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    record_file& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<json> events;
    std::map<std::uint64_t, lease_state> leases;
    std::uint64_t last_lease = 77000;
    std::uint64_t revision = 100;
    std::atomic<bool> stopping{false};
    std::vector<std::unique_ptr<door_state>> doors;
    std::thread janitor;
};

// A request as it arrived at a server.
struct arrival {
    double at = 0;
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string tenant;
    // When the server's answer was written; unset while it is at work, or if the server ended before.
    std::optional<double> answered_at;
    // The server ran the request.
    bool ran = false;
};

// A server of the users ("backend"). It answers with its seal after `work_s`.
class server_standin {
public:
    // Handles a request instead of the usual answer. Returns false if the connection is to be closed.
    using odd_answer = std::function<bool(const connection_ptr&, const http_head&, const std::string& body)>;

    server_standin(record_file& record_in, const std::string& ip_in, std::string id_in,
                   std::string service_in, std::string zone_in, double work_s_in)
        : record(record_in), ip(ip_in), id(std::move(id_in)), service(std::move(service_in)),
          zone(std::move(zone_in)), work_s(work_s_in), born(unix_ms()) {
        this->door =
            std::make_unique<listener>(ip_in, 0, [this](const connection_ptr& peer) { this->serve(peer); });
    }

    [[nodiscard]] const std::string& name() const { return this->id; }
    [[nodiscard]] int port() const { return this->door->port(); }
    [[nodiscard]] std::string key() const { return "servers/" + this->id; }
    [[nodiscard]] std::string entry(const std::string& state = "ready") const {
        return json{
            {"address", this->ip + ":" + std::to_string(this->port())},
            {"info", {{"service", this->service}, {"version", "v1"}, {"zone", this->zone}, {"slots", 9}}},
            {"status", {{"state", state}, {"sequence", 4}, {"cold-remaining-ms", 0}}},
            {"born", this->born}}
            .dump();
    }
    void set_odd_answer(odd_answer answer_in) {
        const std::lock_guard lock(this->mutex);
        this->odd = std::move(answer_in);
    }
    // Ends the process of the server.
    void stop() {
        this->record.line("server " + this->id + " ends");
        this->door->stop();
    }
    [[nodiscard]] std::vector<arrival> arrivals() {
        const std::lock_guard lock(this->mutex);
        return this->seen;
    }
    // Text that stands for the body of the answer to a request.
    static std::string body_for(const std::string& request_id) { return "answer to " + request_id + "\n"; }

private:
    void serve(const connection_ptr& peer) {
        http_head head;
        std::string body;
        for (;;) {
            read_status status = peer->read_head(head, now_s() + 10);
            if (status == read_status::ok) {
                status = peer->read_body(head, body, now_s() + 20, false);
            }
            if (status != read_status::ok) {
                return;
            }
            const std::string request_id = head.get("cassiaspan-request-id");
            if (const auto expected = head.find("cassiaspan-target-instance");
                expected && *expected != this->id) {
                this->record.line("server " + this->id + " answers 421 to " + request_id);
                if (!peer->write("HTTP/1.1 421 Misdirected Request\r\nCassiaspan-Request-Id: " + request_id +
                                 "\r\nCassiaspan-Instance-Id: " + this->id +
                                 "\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            std::size_t index = 0;
            odd_answer special;
            {
                const std::lock_guard lock(this->mutex);
                index = this->seen.size();
                this->seen.push_back({now_s(), request_id, head.word(0), head.word(1), body,
                                      head.get("cassiaspan-tenant"), std::nullopt, true});
                special = this->odd;
            }
            this->record.line("server " + this->id + " runs " + request_id + " " + head.word(0) + " " +
                              head.word(1) + " body " + std::to_string(body.size()));
            if (special) {
                if (!special(peer, head, body)) {
                    return;
                }
                continue;
            }
            sleep_s(this->work_s);
            const std::string text = body_for(request_id);
            if (!peer->write("HTTP/1.1 200 OK\r\nCassiaspan-Request-Id: " + request_id +
                             "\r\nCassiaspan-Response-Seal: seal-" + this->id +
                             "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(text.size()) +
                             "\r\n\r\n" + text)) {
                this->record.line("server " + this->id + " could not answer " + request_id);
                return;
            }
            const std::lock_guard lock(this->mutex);
            this->seen[index].answered_at = now_s();
        }
    }

    record_file& record;
    std::string ip;
    std::string id;
    std::string service;
    std::string zone;
    double work_s;
    std::int64_t born;
    std::mutex mutex;
    std::vector<arrival> seen;
    odd_answer odd;
    std::unique_ptr<listener> door;
};

// What a client got for one request.
struct client_answer {
    double sent_at = 0;
    double done_at = 0;
    // 0: no complete head.
    int status = 0;
    std::string body;
    std::string seal;
    read_status end = read_status::ok;
    // The connection can carry another request.
    bool kept = false;
};

struct client_request {
    std::string id;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key = "key-1";
    std::string host = "app.example";
    int deadline_ms = 4000;
    std::string more_headers;
    // Sends the body in chunks of this size; 0: with a length.
    std::size_t chunk_bytes = 0;
};

inline std::string render(const client_request& request) {
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host +
                       "\r\nCassiaspan-Request-Id: " + request.id +
                       "\r\nCassiaspan-Deadline-Ms: " + std::to_string(request.deadline_ms) +
                       "\r\nAuthorization: Bearer " + request.key + "\r\n" + request.more_headers;
    if (request.chunk_bytes > 0) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t i = 0; i < request.body.size(); i += request.chunk_bytes) {
            const std::string part = request.body.substr(i, request.chunk_bytes);
            std::array<char, 32> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
            text += size.data() + part + "\r\n";
        }
        return text + "0\r\n\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

// Sends a request on the connection and reads the answer, until the client's deadline.
inline client_answer exchange(record_file& record, connection& link, const client_request& request) {
    client_answer answer;
    answer.sent_at = now_s();
    record.line("client sends " + request.id + " " + request.method + " " + request.target);
    if (!link.write(render(request))) {
        answer.end = read_status::reset;
    }
    http_head head;
    const double until = answer.sent_at + request.deadline_ms / 1000.0;
    // A node may answer and close before it has read everything.
    answer.end = link.read_head(head, until);
    if (answer.end == read_status::ok) {
        answer.status = std::atoi(head.word(1).c_str());
        answer.seal = head.get("cassiaspan-response-seal");
        answer.end = link.read_body(head, answer.body, until, true);
        answer.kept = answer.end == read_status::ok && lower(head.get("connection")) != "close";
    }
    answer.done_at = now_s();
    record.line("client got " + request.id + " status " + std::to_string(answer.status) + " end " +
                to_text(answer.end) + " seal '" + answer.seal + "' body " +
                std::to_string(answer.body.size()) + " after " +
                std::to_string(static_cast<int>((answer.done_at - answer.sent_at) * 1000)) + " ms");
    return answer;
}

// The ports of a deployment, the same on all machines.
struct port_plan {
    int front = 0;
    int ready = 0;
    int control = 0;
    int directory = 0;
    int first_internal = 0;
};

inline bool can_bind(const std::string& ip, int port, int type) {
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_sockaddr(ip, port);
    const bool ok = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return ok;
}

// Finds ports that are free on all of the addresses.
inline port_plan find_ports(const std::vector<std::string>& ips) {
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int base = 12000 + static_cast<int>(random() % 1900) * 10;
        bool ok = true;
        for (const std::string& ip : ips) {
            for (int port = base; port < base + 8; ++port) {
                ok = ok && can_bind(ip, port, SOCK_STREAM) && can_bind(ip, port, SOCK_DGRAM);
            }
        }
        if (ok) {
            return {base, base + 1, base + 2, base + 3, base + 4};
        }
    }
    throw cannot_run("no free ports");
}

// Loopback addresses that differ between runs: 127.x.y.1 and so on.
inline std::string loopback(int host) {
    static const unsigned part = static_cast<unsigned>(::getpid()) % 60000;
    return "127." + std::to_string(10 + part / 250 % 240) + "." + std::to_string(1 + part % 250) + "." +
           std::to_string(host);
}

// A machine that runs cassiaspan-node with the command of the deploy file.
class machine {
public:
    machine(record_file& record_in, std::string name_in, std::string ip_in, json settings_in,
            std::filesystem::path folder)
        : record(record_in), name(std::move(name_in)), ip(std::move(ip_in)), settings(std::move(settings_in)),
          settings_path(folder / (this->name + ".json")), log_path(folder / (this->name + ".log")) {}
    ~machine() { this->kill(); }
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    machine(machine&&) = delete;
    machine& operator=(machine&&) = delete;

    void set_bound(const std::string& bound, const json& value) { this->settings["bounds"][bound] = value; }
    // Replaces the settings file in one step.
    void write_settings() {
        const std::filesystem::path next = this->settings_path.string() + ".next";
        std::ofstream(next) << this->settings.dump(2);
        std::filesystem::rename(next, this->settings_path);
    }

    void start() {
        this->write_settings();
        std::vector<std::string> variables{"CASSIASPAN_NODE_FILE=" + this->settings_path.string()};
        for (const char* each : {"PATH", "HOME", "LANG"}) {
            if (const char* value = std::getenv(each)) {
                variables.push_back(std::string(each) + "=" + value);
            }
        }
        std::vector<char*> environment;
        for (std::string& each : variables) {
            environment.push_back(each.data());
        }
        environment.push_back(nullptr);
        const int log = ::open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        const pid_t child = ::fork();
        if (child == 0) {
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            std::string program = "target/cassiaspan-node";
            std::array<char*, 2> arguments{program.data(), nullptr};
            ::execve(program.c_str(), arguments.data(), environment.data());
            ::_exit(127);
        }
        ::close(log);
        this->process = child;
        this->record.line("machine " + this->name + " starts");
    }
    void signal(int number) {
        if (this->process > 0) {
            ::kill(this->process, number);
        }
    }
    // Returns whether the process has ended by now; then `status` is as waitpid sets it.
    bool has_ended(int& status) {
        if (this->process > 0 && ::waitpid(this->process, &status, WNOHANG) == this->process) {
            this->process = 0;
        }
        return this->process == 0;
    }
    bool wait_for_end(double time) {
        const double until = now_s() + time;
        int status = 0;
        while (!this->has_ended(status)) {
            if (now_s() > until) {
                return false;
            }
            sleep_s(0.01);
        }
        this->record.line("machine " + this->name + " has ended");
        return true;
    }
    void kill() {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            int status = 0;
            ::waitpid(this->process, &status, 0);
            this->process = 0;
        }
    }
    [[nodiscard]] bool is_ready() const {
        const connection_ptr link = connect_to(this->ip, this->port_of("ready"));
        http_head head;
        return link &&
               link->write("GET /cassiaspan/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
               link->read_head(head, now_s() + 1) == read_status::ok && head.word(1) == "200";
    }
    void wait_until_ready(double time) const {
        const double until = now_s() + time;
        while (!this->is_ready()) {
            if (now_s() > until) {
                throw cannot_run(this->name + " does not become ready");
            }
            sleep_s(0.02);
        }
        this->record.line("machine " + this->name + " is ready");
    }
    [[nodiscard]] connection_ptr connect() const { return connect_to(this->ip, this->port_of("front")); }
    // A figure of /proc/PID/status in kB, such as VmRSS.
    [[nodiscard]] long status_kb(const std::string& field) const {
        std::ifstream file("/proc/" + std::to_string(this->process) + "/status");
        for (std::string text; std::getline(file, text);) {
            if (text.rfind(field + ":", 0) == 0) {
                return std::atol(text.c_str() + field.size() + 1);
            }
        }
        return 0;
    }
    [[nodiscard]] const std::string& machine_name() const { return this->name; }
    [[nodiscard]] pid_t process_id() const { return this->process; }
    [[nodiscard]] const std::filesystem::path& log_file() const { return this->log_path; }

private:
    [[nodiscard]] int port_of(const std::string& what) const {
        const std::string address = this->settings.at("listen").at(what);
        return std::atoi(address.c_str() + address.rfind(':') + 1);
    }

    record_file& record;
    std::string name;
    std::string ip;
    json settings;
    std::filesystem::path settings_path;
    std::filesystem::path log_path;
    pid_t process = 0;
};

// The settings of a machine as `fleetbench wire` shows them for the site yth-span.
inline json make_settings(const std::string& name, const std::string& ip, const std::string& zone,
                          const std::string& store_ip, int store_port, const port_plan& ports,
                          const std::vector<std::string>& seeds) {
    const auto at = [&ip](int port) { return ip + ":" + std::to_string(port); };
    json settings;
    settings["node-name"] = name;
    settings["role"] = "node";
    settings["machine-class"] = "edge";
    settings["serves"] = {"edge", "control", "directory"};
    settings["ip"] = ip;
    settings["zone"] = zone;
    settings["zones"] = {{"mar-a", "marmara"}, {"ege-a", "ege"}, {"ica-a", "ic-anadolu"},
                         {"mar-b", "marmara"}, {"ege-b", "ege"}, {"ica-b", "ic-anadolu"}};
    settings["region"] = settings["zones"][zone];
    settings["listen"] = {{"front", at(ports.front)},
                          {"ready", at(ports.ready)},
                          {"control", at(ports.control)},
                          {"directory", at(ports.directory)}};
    settings["internal-ports"] = {ports.first_internal, ports.first_internal + 3};
    settings["seeds"] = json::array();
    for (const std::string& seed : seeds) {
        settings["seeds"].push_back(seed + ":" + std::to_string(ports.control));
    }
    settings["bootstrap"] = false;
    settings["limits"] = {{"cpu-share", 0.2}, {"cores", 1},          {"memory-mb", 260},
                          {"max-fds", 4100},  {"link-mbps", 1000.0}, {"disk-mb", 0}};
    settings["heartbeat-ms"] = 1500;
    settings["fault-tolerance"] = {{"machines", 1}, {"zones", 1}, {"regions", 1}};
    settings["bounds"] = {{"contact-ms", 3000},    {"drain-ms", 2500},         {"grace-s", 6},
                          {"loss-slack-ms", 200},  {"config-apply-ms", 2500},  {"retry-budget-ratio", 0.2},
                          {"budget-window-s", 10}, {"retry-budget-slack", 56}, {"evacuate-ms", 5000},
                          {"recovery-s", 15},      {"ttl_max_s", 5},           {"max-shift", 0.15}};
    settings["provider"] = {{"address", store_ip + ":" + std::to_string(store_port)},
                            {"form", "kv"},
                            {"writes-per-s", 400},
                            {"reads-per-s", 2000},
                            {"history-s", 20},
                            {"value-bytes", 1048576},
                            {"ttl-min-ms", 1000}};
    return settings;
}

inline json make_route(const std::string& name, const std::string& prefix, const std::string& kind,
                       const std::string& service, int timeout_ms) {
    return {{"resource-type", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", "app.example"},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout-ms", timeout_ms},
              {"target-latency-ms", 800},
              {"priority", 1},
              {"service", service},
              {"max-attempts", 2},
              {"public", false},
              {"affinity", true},
              {"allowed-regions", json::array()}}}};
}

inline json make_service(const std::string& name) {
    return {{"resource-type", "services"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"health-path", "/healthz"},
              {"max-connections", 330},
              {"cold-start-s", 3.0},
              {"cold-per-s", 7.5}}}};
}

inline std::string make_config(const std::string& version, std::vector<json> resources) {
    resources.push_back(
        {{"resource-type", "tenants"},
         {"metadata", {{"name", "tenant-1"}}},
         {"spec", {{"api-keys", {"key-1"}}, {"priority", 1}, {"rate-per-s", 0}, {"burst", 0}}}});
    resources.push_back({{"resource-type", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 67108864},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}}});
    return json{{"version", version}, {"resources", resources}}.dump();
}

// A temporary folder that is removed at the end, unless REVIEW_KEEP is set.
struct temporary_folder {
    std::filesystem::path path;
    temporary_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "cassiaspan-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            throw cannot_run("no temporary folder");
        }
        this->path = name;
    }
    ~temporary_folder() {
        if (std::getenv("REVIEW_KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->path, ignored);
        } else {
            std::cerr << this->path << "\n";
        }
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;
};

// Whether the disruption is to take place: TROUBLE=0 runs the case without it.
inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Runs a case in the root of the repository. The argument is the folder of the case.
inline int run_case(int count, char** arguments, int (*play)(record_file&)) {
    if (count != 2) {
        std::cerr << "usage: CASE FOLDER\n";
        return exit_could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        record_file record(std::string(arguments[1]) + "/record.txt");
        record.line(with_trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
        if (::access("target/cassiaspan-node", X_OK) != 0) {
            throw cannot_run(
                "target/cassiaspan-node is missing: run the build command of deploy/system.toml");
        }
        int result = exit_could_not_run;
        try {
            result = play(record);
        } catch (const std::exception& error) {
            record.line(std::string("could not run: ") + error.what());
            std::cerr << "could not run: " << error.what() << "\n";
        }
        record.line("exit " + std::to_string(result));
        return result;
    } catch (const std::exception& error) {
        std::cerr << "could not run: " << error.what() << "\n";
        return exit_could_not_run;
    }
}

} // namespace review
