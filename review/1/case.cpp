// A server leaves while one machine is partitioned from the store and the other one restarts as planned. The
// partitioned machine follows the restarted one and must stop sending to the server.

#include "../common/standin.h"

using namespace review;

namespace {

// Figures of the site file yth-span.
constexpr double drain_s = 2.5;
constexpr double contact_s = 3.0;
constexpr double cut_s = 5.5;
// How long the server that leaves continues to serve after its entry was removed.
constexpr double serves_on_s = 14.0;

int play(record_file& record) {
    const temporary_folder folder;
    const std::string ip_a = loopback(1);
    const std::string ip_b = loopback(2);
    const std::string ip_store = loopback(3);
    const std::string ip_servers = loopback(4);
    const port_plan ports = find_ports({ip_a, ip_b});
    store_standin store(record);
    const std::size_t door_a = store.add_door(ip_store);
    const std::size_t door_b = store.add_door(ip_store);
    server_standin stays(record, ip_servers, "i-stays", "fatura", "mar-a", 0.3);
    server_standin leaves(record, ip_servers, "i-leaves", "fatura", "mar-a", 0.3);
    store.put("op/config",
              make_config("00000007", {make_route("invoices", "/invoice/", "non_idempotent", "fatura", 2500),
                                       make_service("fatura")}));
    store.put(stays.key(), stays.entry());
    store.put(leaves.key(), leaves.entry());
    machine a(record, "edge-a", ip_a,
              make_settings("edge-a", ip_a, "mar-a", ip_store, store.port(door_a), ports, {ip_a, ip_b}),
              folder.path);
    machine b(record, "edge-b", ip_b,
              make_settings("edge-b", ip_b, "mar-b", ip_store, store.port(door_b), ports, {ip_a, ip_b}),
              folder.path);
    a.start();
    b.start();
    a.wait_until_ready(8);
    b.wait_until_ready(8);
    sleep_s(4);

    std::atomic<int> number{0};
    std::atomic<int> unanswered{0};
    const auto invoice = [&](int affinity) {
        const connection_ptr link = b.connect();
        if (!link) {
            throw cannot_run("edge-b does not accept connections");
        }
        client_request request;
        request.id = "invoice-" + std::to_string(++number);
        request.method = "POST";
        request.target = "/invoice/" + std::to_string(affinity);
        request.body = "amount=1";
        request.more_headers = "Cassiaspan-Affinity-Key: " + std::to_string(affinity) + "\r\n";
        unanswered += exchange(record, *link, request).status == 200 ? 0 : 1;
    };
    // Sends `count` invoices at once.
    const auto send_batch = [&](int count) {
        std::vector<std::thread> clients;
        for (int i = 0; i < count; ++i) {
            clients.emplace_back([&, i] { invoice(i); });
        }
        return clients;
    };
    const auto join_all = [](std::vector<std::thread> clients) {
        for (std::thread& each : clients) {
            each.join();
        }
    };
    // Both servers are in use.
    for (int i = 0; i < 4; ++i) {
        join_all(send_batch(12));
    }
    if (leaves.arrivals().empty() || stays.arrivals().empty()) {
        throw cannot_run("the servers are not both in use");
    }

    // Planned: edge-a is stopped and started again. Meanwhile the server leaves: its entry is removed.
    const double cut_at = now_s();
    if (with_trouble()) {
        store.set_cut(door_b, true);
        record.line("edge-b is partitioned from the store");
    }
    a.signal(SIGTERM);
    record.line("SIGTERM to edge-a");
    if (!a.wait_for_end(6.5)) {
        throw cannot_run("edge-a does not stop");
    }
    sleep_s(0.2);
    store.remove(leaves.key());
    const double left_at = now_s();
    record.line("the store has acknowledged that i-leaves is gone");
    sleep_s(0.3);
    a.start();
    a.wait_until_ready(8);
    sleep_s(std::max(0.0, cut_at + cut_s - now_s()));
    store.set_cut(door_b, false);
    record.line("edge-b reaches the store again");

    // From here on both machines are in touch, and the store was never disrupted.
    sleep_s(std::max(contact_s + 0.2, left_at + drain_s + 0.2 - now_s()));
    const double judged_from = now_s();
    record.line("judged from here on");
    int sent = 0;
    while (now_s() < left_at + serves_on_s - 1) {
        join_all(send_batch(12));
        sent += 12;
    }
    // The server ends while requests are under way, as it may by now.
    unanswered = 0;
    std::vector<std::thread> last = send_batch(12);
    sleep_s(0.15);
    leaves.stop();
    join_all(std::move(last));

    int late = 0;
    for (const arrival& each : leaves.arrivals()) {
        late += each.at > judged_from ? 1 : 0;
    }
    std::ostringstream text;
    text << late << " of " << sent + 12 << " requests, sent by clients to edge-b from "
         << judged_from - left_at
         << " s after the acknowledgement on, reached the server that had left (drain-ms " << drain_s * 1000
         << "); " << unanswered << " of the last 12 were not answered with success";
    record.line(text.str());
    std::cout << text.str() << "\n";
    return late > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int count, char** arguments) {
    return run_case(count, arguments, play);
}
