// Stand-ins for the platform and for targets, each run as a process of its own.
//
//   standin store ADDRESS
//   standin vms ADDRESS LIST.json
//   standin target ADDRESS NAME SLOTS SERVICE_MS [RECORD_FILE [POISON]]
//   standin load VM_LIST_ADDRESS KEY METHOD PATH REQUESTS_PER_SECOND SECONDS THREADS
//
// Each prints "ready PORT" once it listens, and ends with its standard input or by a signal.

#include "load_caller.h"
#include "store_standin.h"
#include "target_standin.h"
#include "vm_list_standin.h"

#include <csignal>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <iostream>
#include <sstream>
#include <vector>

namespace {

using cassiaspan::boot_clock;
using namespace cassiaspan::standin;

std::string read_file(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <class Standin>
int run_server(const std::string& address, Standin& standin, const boot_clock& time) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const cassiaspan::http_server_options options{cassiaspan::parse_address(address).value(), 384,
                                                  cassiaspan::milliseconds{30'000}, 65536, ""};
    const auto server = cassiaspan::http_server::start(
        options,
        [&standin](cassiaspan::http_server&, mg_connection* connection, const mg_request_info& info) {
            return standin.serve(connection, info);
        },
        time);
    if (!server) {
        std::cerr << server.error() << "\n";
        return 1;
    }
    std::cout << "ready " << (*server)->port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    // A target may be busy for longer than anybody waits.
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    std::signal(SIGPIPE, SIG_IGN);
    const boot_clock time;
    if (words.size() == 2 && words[0] == "store") {
        store_standin store(time);
        return run_server(words[1], store, time);
    }
    if (words.size() == 3 && words[0] == "vms") {
        cassiaspan::schema::VmList list;
        if (!google::protobuf::util::JsonStringToMessage(read_file(words[2]), &list).ok()) {
            std::cerr << "bad list\n";
            return 2;
        }
        vm_list_standin vms(list);
        return run_server(words[1], vms, time);
    }
    if (words.size() >= 5 && words[0] == "target") {
        target_standin target({words[2], std::stoul(words[3]), cassiaspan::milliseconds{std::stoi(words[4])},
                               words.size() > 5 ? words[5] : "", words.size() > 6 ? words[6] : ""},
                              time);
        return run_server(words[1], target, time);
    }
    if (words.size() == 8 && words[0] == "load") {
        const load_plan plan{cassiaspan::parse_address(words[1]).value(),
                             words[2],
                             words[3],
                             words[4],
                             std::stod(words[5]),
                             cassiaspan::seconds{std::stoi(words[6])},
                             std::stoul(words[7])};
        std::cout << render(run_load(plan, time)) << std::endl;
        return 0;
    }
    std::cerr << "usage: standin store|vms|target|load ...\n";
    return 2;
}
