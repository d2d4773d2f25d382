// The settings files change: a bound becomes a fraction. Both machines are then restarted in turn, as
// planned, and must serve again.

#include "../common/standin.h"

using namespace review;

namespace {

// Time in which a restarted machine may become ready, and after which another start is made if the process
// has ended.
constexpr double ready_s = 8;
constexpr double restart_delay_s = 0.5;

int play(record_file& record) {
    const temporary_folder folder;
    const std::vector<std::string> ips{loopback(1), loopback(2)};
    const std::string ip_store = loopback(3);
    const std::string ip_servers = loopback(4);
    const port_plan ports = find_ports(ips);
    store_standin store(record);
    server_standin server(record, ip_servers, "i-1", "fatura", "mar-a", 0.05);
    store.put("op/config",
              make_config("00000007", {make_route("invoices", "/invoice/", "non_idempotent", "fatura", 2500),
                                       make_service("fatura")}));
    store.put(server.key(), server.entry());
    const std::size_t door = store.add_door(ip_store);
    std::vector<std::unique_ptr<machine>> machines;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        const std::string name = i == 0 ? "edge-a" : "edge-b";
        machines.push_back(std::make_unique<machine>(
            record, name, ips[i],
            make_settings(name, ips[i], i == 0 ? "mar-a" : "mar-b", ip_store, store.port(door), ports, ips),
            folder.path));
        machines.back()->start();
    }
    for (const auto& each : machines) {
        each->wait_until_ready(ready_s);
    }
    sleep_s(3);

    int number = 0;
    // Returns how many of ten requests, half of them to each machine, are answered with success.
    const auto count_answered = [&] {
        int answered = 0;
        for (int i = 0; i < 10; ++i) {
            client_request request;
            request.id = "invoice-" + std::to_string(++number);
            request.method = "POST";
            request.target = "/invoice/" + std::to_string(number);
            const connection_ptr link = machines[static_cast<std::size_t>(i % 2)]->connect();
            if (!link) {
                record.line("client cannot connect for " + request.id);
                continue;
            }
            answered += exchange(record, *link, request).status == 200 ? 1 : 0;
        }
        return answered;
    };
    const int before = count_answered();

    // The settings change, with a signal: the bounds are as before, but one. Without the disruption it is a
    // whole number.
    const json grace = with_trouble() ? json(6.5) : json(7);
    for (const auto& each : machines) {
        each->set_bound("grace-s", grace);
        each->write_settings();
        each->signal(SIGHUP);
    }
    record.line("the settings files change: grace-s is " + grace.dump());
    sleep_s(1);
    const int after_change = count_answered();

    // Planned: the machines are stopped and started in turn.
    std::array<int, 2> ends{};
    for (std::size_t i = 0; i < machines.size(); ++i) {
        machine& each = *machines[i];
        record.line("SIGTERM to " + each.machine_name());
        each.signal(SIGTERM);
        if (!each.wait_for_end(7.5)) {
            throw cannot_run("a machine does not stop");
        }
        each.start();
        const double until = now_s() + ready_s;
        int status = 0;
        while (!each.is_ready() && now_s() < until) {
            if (each.has_ended(status)) {
                ++ends[i];
                record.line(each.machine_name() + " has ended by itself with exit code " +
                            std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1));
                sleep_s(restart_delay_s);
                each.start();
            }
            sleep_s(0.05);
        }
    }
    const int after = count_answered();
    std::ostringstream text;
    text << "answered with success, of 10 each: " << before << " before the change, " << after_change
         << " after it, " << after << " after the restarts; processes ended by themselves: edge-a " << ends[0]
         << " times, edge-b " << ends[1] << " times";
    record.line(text.str());
    std::cout << text.str() << "\n";
    if (before < 10 || after_change < 10) {
        throw cannot_run("requests failed before the restarts");
    }
    // "if a program doesn't start [...], if on a tenth of the machines in use (two at least) processes end by
    // themselves three times in the day".
    return ends[0] >= 3 && ends[1] >= 3 && after == 0 ? exit_broken : exit_held;
}

} // namespace

int main(int count, char** arguments) {
    return run_case(count, arguments, play);
}
