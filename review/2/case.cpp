// One server of a service answers with bytes that are no answer and have no end, in a chunked body. The
// machines must not be ended for using more memory than they have.

#include "../common/standin.h"

using namespace review;

namespace {

// Figures of the site file yth-span: "memory-mb" and "link-mbps" of a machine, the timeout of the route.
constexpr long memory_kb = 260L * 1024;
constexpr double link_bytes_per_s = 1000e6 / 8;
constexpr int timeout_ms = 2500;

// Sends bytes without a line end until the node closes the connection, at the rate of the machine's link.
void send_without_end(const connection& peer) {
    const std::string part(64 * 1024, 'x');
    const double begin = now_s();
    double sent = 0;
    for (;;) {
        const ssize_t count = ::send(peer.socket(), part.data(), part.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<double>(count);
        const double ahead = sent / link_bytes_per_s - (now_s() - begin);
        if (ahead > 0) {
            sleep_s(ahead);
        }
    }
}

// A machine whose platform ends the process when it exceeds its memory, and starts it again.
class watched_machine {
public:
    watched_machine(record_file& record_in, machine& node_in) : record(record_in), node(node_in) {
        this->thread = std::thread([this] { this->watch(); });
    }
    ~watched_machine() {
        this->done = true;
        this->thread.join();
    }
    watched_machine(const watched_machine&) = delete;
    watched_machine& operator=(const watched_machine&) = delete;
    watched_machine(watched_machine&&) = delete;
    watched_machine& operator=(watched_machine&&) = delete;

    std::atomic<int> ends{0};
    std::atomic<long> peak_kb{0};

private:
    void watch() {
        while (!this->done) {
            sleep_s(0.02);
            const long used = this->node.status_kb("VmRSS");
            this->peak_kb = std::max(this->peak_kb.load(), used);
            int status = 0;
            if (used <= memory_kb && !this->node.has_ended(status)) {
                continue;
            }
            this->record.line(this->node.machine_name() + " uses " + std::to_string(used / 1024) +
                              " MB of memory-mb 260: the platform ends its process");
            ++this->ends;
            this->node.kill();
            sleep_s(0.5);
            this->node.start();
        }
    }

    record_file& record;
    machine& node;
    std::atomic<bool> done{false};
    std::thread thread;
};

int play(record_file& record) {
    const temporary_folder folder;
    const std::vector<std::string> ips{loopback(1), loopback(2)};
    const std::string ip_store = loopback(3);
    const std::string ip_servers = loopback(4);
    const port_plan ports = find_ports(ips);
    store_standin store(record);
    server_standin sound(record, ip_servers, "i-sound", "fisler", "mar-a", 0.1);
    server_standin faulty(record, ip_servers, "i-faulty", "fisler", "mar-a", 0.1);
    store.put("op/config",
              make_config("00000007", {make_route("sheets", "/sheet/", "idempotent", "fisler", timeout_ms),
                                       make_service("fisler")}));
    store.put(sound.key(), sound.entry());
    store.put(faulty.key(), faulty.entry());
    const std::size_t door = store.add_door(ip_store);
    machine a(record, "edge-a", ips[0],
              make_settings("edge-a", ips[0], "mar-a", ip_store, store.port(door), ports, ips), folder.path);
    machine b(record, "edge-b", ips[1],
              make_settings("edge-b", ips[1], "mar-b", ip_store, store.port(door), ports, ips), folder.path);
    a.start();
    b.start();
    a.wait_until_ready(8);
    b.wait_until_ready(8);
    sleep_s(4);
    // Both machines share the faulty server's link: one endless answer at a time.
    std::mutex one_at_a_time;
    if (with_trouble()) {
        faulty.set_odd_answer([&](const connection_ptr& peer, const http_head& head,
                                  const std::string& /*body*/) {
            const std::string id = head.get("cassiaspan-request-id");
            const std::unique_lock lock(one_at_a_time, std::try_to_lock);
            if (!lock.owns_lock()) {
                // Busy: turned away as a full server does.
                return peer->write("HTTP/1.1 503 Service Unavailable\r\nCassiaspan-Request-Id: " + id +
                                   "\r\nCassiaspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            record.line("server i-faulty answers " + id + " without end");
            if (peer->write("HTTP/1.1 200 OK\r\nCassiaspan-Request-Id: " + id +
                            "\r\nCassiaspan-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n10;")) {
                send_without_end(*peer);
            }
            return false;
        });
    }
    int sent = 0;
    int answered = 0;
    std::array<int, 2> ends{};
    {
        std::array<std::unique_ptr<watched_machine>, 2> watched{std::make_unique<watched_machine>(record, a),
                                                                std::make_unique<watched_machine>(record, b)};
        const double until = now_s() + 75;
        while (now_s() < until && (watched[0]->ends < 3 || watched[1]->ends < 3)) {
            // A few clients ask both machines, one second apart.
            std::vector<std::thread> clients;
            std::atomic<int> ok{0};
            for (int i = 0; i < 8; ++i) {
                machine& node = watched[i % 2]->ends < 3 ? (i % 2 == 0 ? a : b) : (i % 2 == 0 ? b : a);
                clients.emplace_back([&record, &node, &ok, id = ++sent] {
                    const connection_ptr link = node.connect();
                    if (!link) {
                        return;
                    }
                    client_request request;
                    request.id = "sheet-" + std::to_string(id);
                    request.target = "/sheet/" + std::to_string(id % 36);
                    request.more_headers = "Cassiaspan-Affinity-Key: " + std::to_string(id % 36) + "\r\n";
                    ok += exchange(record, *link, request).status == 200 ? 1 : 0;
                });
            }
            for (std::thread& each : clients) {
                each.join();
            }
            answered += ok;
            if (!with_trouble() && sent >= 160) {
                break;
            }
            sleep_s(0.5);
        }
        std::ostringstream text;
        text << "processes ended for memory: edge-a " << watched[0]->ends << ", edge-b " << watched[1]->ends
             << "; peaks " << watched[0]->peak_kb / 1024 << " and " << watched[1]->peak_kb / 1024
             << " MB of 260; " << answered << " of " << sent << " requests answered with success";
        record.line(text.str());
        std::cout << text.str() << "\n";
        ends = {watched[0]->ends, watched[1]->ends};
    }
    if (!with_trouble() && answered < sent) {
        throw cannot_run("requests failed without the disruption");
    }
    // "if on a tenth of the machines in use (two at least) processes end by themselves three times in the
    // day".
    return ends[0] >= 3 && ends[1] >= 3 ? exit_broken : exit_held;
}

} // namespace

int main(int count, char** arguments) {
    return run_case(count, arguments, play);
}
