#include "commands.h"

#include "burn_report.h"
#include "change.h"
#include "config_check.h"
#include "fleet_reader.h"

#include <algorithm>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>
#include <google/protobuf/util/time_util.h>
#include <iomanip>
#include <optional>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

namespace cassiaspan {

namespace {

constexpr milliseconds store_timeout{2000};
constexpr std::int64_t store_calls_per_second = 100;
constexpr milliseconds acceptance_poll{100};

// What the commands work with.
struct command_context {
    const ctl_options& options;
    std::ostream& out;
    std::ostream& error;
    boot_clock time;
    watchdog guard{time};
    std::optional<store_client> store;
};

std::uint64_t draw_random() {
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32U | device();
}

const std::string& word(const command_context& context, std::size_t index) {
    return context.options.words.at(index);
}

bool connect(command_context& context) {
    const auto store = parse_address(context.options.store_address);
    const auto vms = parse_address(context.options.vm_list_address);
    if (!store || !vms) {
        context.error << "settings: --store-address and --vm-list-address are needed\n";
        return false;
    }
    context.store.emplace(store_options{*store, *vms, store_timeout, store_calls_per_second, draw_random()},
                          context.guard, context.time);
    return true;
}

std::optional<schema::Configuration> load_file(command_context& context, const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        context.error << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto configuration = parse_configuration(text.str());
    if (!configuration) {
        context.error << render(configuration.error(), path);
        return std::nullopt;
    }
    return *configuration;
}

std::vector<vm_status> read_vms(command_context& context) {
    const auto list = context.store->list_vms();
    return list ? read_fleet(*list, context.guard, context.time) : std::vector<vm_status>{};
}

std::optional<acceptance> read_acceptance(command_context& context, std::uint64_t generation) {
    const auto present = read_configuration(*context.store);
    if (!present) {
        return std::nullopt;
    }
    std::vector<std::pair<std::uint64_t, std::uint64_t>> held;
    for (const vm_status& row : read_vms(context)) {
        if (row.status && row.status->synced()) {
            held.emplace_back(row.status->self().incarnation(), row.status->generation());
        }
    }
    return judge_acceptance(present->head, generation, held);
}

std::string join(std::vector<std::string> names) {
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

exit_code wait_for_acceptance(command_context& context, std::uint64_t generation) {
    const instant deadline = context.time.now() + context.options.wait;
    std::optional<acceptance> last;
    while (true) {
        last = read_acceptance(context, generation);
        if (last && last->accepted) {
            context.out << "accepted: generation " << generation;
            context.out << (last->missing.empty() ? "\n" : "; not yet heard: " + join(last->missing) + "\n");
            return exit_code::accepted;
        }
        if (context.time.now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(acceptance_poll);
    }
    context.out << "pending: generation " << generation << " is written, but no majority holds it";
    context.out << (last ? "; not heard: " + join(last->missing) + "\n" : "; the store does not answer\n");
    return exit_code::pending;
}

exit_code change(command_context& context, const configuration_edit& edit, const std::string& summary,
                 bool repeat_on_newer) {
    if (!connect(context)) {
        return exit_code::invalid;
    }
    std::ostringstream change_id;
    change_id << std::hex << draw_random();
    const change_result result =
        make_change(*context.store, {edit, context.options.operator_name, summary, change_id.str(),
                                     context.options.base, repeat_on_newer});
    (result.code == exit_code::accepted ? context.out : context.error) << result.text << "\n";
    return result.code == exit_code::accepted ? wait_for_acceptance(context, result.generation) : result.code;
}

exit_code run_check(command_context& context) {
    const auto configuration = load_file(context, word(context, 1));
    if (!configuration) {
        return exit_code::invalid;
    }
    context.out << word(context, 1) << ": " << configuration->workspaces_size() << " workspaces, "
                << configuration->services_size() << " services, no findings\n";
    return exit_code::accepted;
}

exit_code run_apply(command_context& context) {
    const auto configuration = load_file(context, word(context, 1));
    if (!configuration) {
        return exit_code::invalid;
    }
    const auto edit = [&](schema::Configuration& target) {
        target = *configuration;
        return findings{};
    };
    return change(context, edit, "apply " + word(context, 1), false);
}

exit_code run_diff(command_context& context) {
    const auto configuration = load_file(context, word(context, 1));
    if (!configuration || !connect(context)) {
        return exit_code::invalid;
    }
    const auto present = read_configuration(*context.store);
    if (!present) {
        context.error << present.error() << "\n";
        return exit_code::failed;
    }
    std::string report;
    google::protobuf::util::MessageDifferencer differencer;
    differencer.ReportDifferencesToString(&report);
    const bool same = differencer.Compare(present->configuration, *configuration);
    context.out << (same ? "no differences\n" : report);
    return exit_code::accepted;
}

exit_code run_history(command_context& context) {
    if (!connect(context)) {
        return exit_code::invalid;
    }
    const auto present = read_configuration(*context.store);
    if (!present) {
        context.error << present.error() << "\n";
        return exit_code::failed;
    }
    for (const auto& entry : present->head.history()) {
        context.out << entry.generation() << "  " << entry.change_id() << "  " << entry.operator_name()
                    << "  " << entry.summary() << "\n";
    }
    return exit_code::accepted;
}

schema::Workspace* find_workspace(schema::Configuration& configuration, const std::string& name) {
    for (auto& workspace : *configuration.mutable_workspaces()) {
        if (workspace.name() == name) {
            return &workspace;
        }
    }
    return nullptr;
}

findings no_such(const std::string& kind, const std::string& name) {
    return {{kind, "\"" + name + "\" does not exist"}};
}

exit_code run_key_add(command_context& context) {
    const auto edit = [&](schema::Configuration& configuration) -> findings {
        schema::Workspace* workspace = find_workspace(configuration, word(context, 2));
        if (workspace == nullptr) {
            return no_such("workspace", word(context, 2));
        }
        for (const auto& key : workspace->keys()) {
            if (key.id() == word(context, 3) && key.sha256() == word(context, 4)) {
                return {};
            }
        }
        auto* key = workspace->add_keys();
        key->set_id(word(context, 3));
        key->set_sha256(word(context, 4));
        return {};
    };
    return change(context, edit, "key add " + word(context, 2) + " " + word(context, 3), true);
}

exit_code run_key_withdraw(command_context& context) {
    const auto edit = [&](schema::Configuration& configuration) -> findings {
        schema::Workspace* workspace = find_workspace(configuration, word(context, 2));
        if (workspace == nullptr) {
            return no_such("workspace", word(context, 2));
        }
        auto& keys = *workspace->mutable_keys();
        keys.erase(std::remove_if(keys.begin(), keys.end(),
                                  [&](const schema::Key& key) { return key.id() == word(context, 3); }),
                   keys.end());
        return {};
    };
    return change(context, edit, "key withdraw " + word(context, 2) + " " + word(context, 3), true);
}

exit_code run_drain_start(command_context& context) {
    const std::string& kind = word(context, 3);
    const auto edit = [&](schema::Configuration& configuration) -> findings {
        for (const auto& drain : configuration.drains()) {
            if (drain.name() == word(context, 2)) {
                return {};
            }
        }
        auto* drain = configuration.add_drains();
        drain->set_name(word(context, 2));
        *drain->mutable_start() = google::protobuf::util::TimeUtil::GetCurrentTime();
        if (kind == "target") {
            drain->set_target(word(context, 4));
        } else if (kind == "zone") {
            drain->set_availability_zone(word(context, 4));
        } else if (kind == "region") {
            drain->set_region(word(context, 4));
        } else {
            return {{"command line", "\"" + kind + "\" is not target, zone or region"}};
        }
        return {};
    };
    return change(context, edit, "drain start " + word(context, 2), true);
}

exit_code run_drain_stop(command_context& context) {
    const auto edit = [&](schema::Configuration& configuration) -> findings {
        auto& drains = *configuration.mutable_drains();
        drains.erase(
            std::remove_if(drains.begin(), drains.end(),
                           [&](const schema::Drain& drain) { return drain.name() == word(context, 2); }),
            drains.end());
        return {};
    };
    return change(context, edit, "drain stop " + word(context, 2), true);
}

exit_code run_drain_status(command_context& context) {
    if (!connect(context)) {
        return exit_code::invalid;
    }
    std::map<std::string, std::pair<std::uint64_t, bool>> drains;
    for (const vm_status& row : read_vms(context)) {
        if (!row.status) {
            context.out << row.vm.name() << " does not answer; what it has in flight is not counted\n";
            continue;
        }
        for (const auto& drain : row.status->drains()) {
            drains[drain.name()].first += drain.in_flight();
            drains[drain.name()].second = drain.started();
        }
    }
    for (const auto& [name, state] : drains) {
        const char* phase = !state.second ? "planned" : state.first > 0 ? "draining" : "drained";
        context.out << name << "  " << phase << "  " << state.first << " requests in flight\n";
    }
    return exit_code::accepted;
}

exit_code run_status(command_context& context) {
    if (!connect(context)) {
        return exit_code::invalid;
    }
    context.out << std::left << std::setw(12) << "VM" << std::setw(14) << "region" << std::setw(16) << "zone"
                << std::setw(12) << "generation" << std::setw(10) << "licensed" << std::setw(7) << "relay"
                << std::setw(9) << "leaving"
                << "licence\n";
    for (const vm_status& row : read_vms(context)) {
        context.out << std::setw(12) << row.vm.name() << std::setw(14) << row.vm.region() << std::setw(16)
                    << row.vm.availability_zone();
        if (!row.status) {
            context.out << "does not answer\n";
            continue;
        }
        const auto& status = *row.status;
        context.out << std::setw(12) << status.generation() << std::setw(10)
                    << (status.licensed() ? "yes" : "no") << std::setw(7) << (status.relay() ? "yes" : "no")
                    << std::setw(9) << (status.leaving() ? "yes" : "no") << status.licence_reason() << "\n";
    }
    return exit_code::accepted;
}

exit_code run_burn(command_context& context) {
    if (!connect(context)) {
        return exit_code::invalid;
    }
    const auto present = read_configuration(*context.store);
    if (!present) {
        context.error << present.error() << "\n";
        return exit_code::failed;
    }
    std::vector<schema::BurnSample> samples;
    for (const vm_status& row : read_vms(context)) {
        if (row.status) {
            samples.insert(samples.end(), row.status->burn().begin(), row.status->burn().end());
        }
    }
    const auto rows = make_burn_report(present->configuration, samples);
    context.out << (context.options.json ? render_burn_json(rows) : render_burn_table(rows));
    return exit_code::accepted;
}

exit_code run_explain(command_context& context) {
    if (!connect(context)) {
        return exit_code::invalid;
    }
    auto present = read_configuration(*context.store);
    if (!present) {
        context.error << present.error() << "\n";
        return exit_code::failed;
    }
    const schema::Workspace* workspace = find_workspace(present->configuration, word(context, 1));
    if (workspace == nullptr) {
        context.error << render(no_such("workspace", word(context, 1)), "configuration");
        return exit_code::invalid;
    }
    const auto& services = workspace->services();
    const bool allowed = std::find(services.begin(), services.end(), word(context, 2)) != services.end();
    context.out << "workspace " << workspace->name() << (allowed ? " may" : " may not") << " call "
                << word(context, 2) << "; fleet-wide " << workspace->rate_per_second()
                << " requests/s, burst " << workspace->burst_requests() << "\n";
    for (const vm_status& row : read_vms(context)) {
        if (!row.status) {
            context.out << row.vm.name() << " does not answer\n";
            continue;
        }
        context.out << row.vm.name() << ": " << (row.status->licensed() ? "serves" : "refuses") << " ("
                    << row.status->licence_reason() << ")";
        for (const auto& budget : row.status->budgets()) {
            if (budget.workspace() == workspace->name()) {
                context.out << ", budget " << budget.tokens() << " of " << budget.cap_requests()
                            << " requests, " << budget.rate_per_second() << "/s";
            }
        }
        context.out << "\n";
        for (const auto& target : row.status->targets()) {
            if (target.draining() || target.ejected() || target.in_flight() > 0) {
                context.out << "  " << target.target() << ": " << target.in_flight() << " in flight"
                            << (target.draining() ? ", draining" : "")
                            << (target.ejected() ? ", ejected" : "") << "\n";
            }
        }
    }
    return exit_code::accepted;
}

// A command by its leading words and how many words follow.
struct command_row {
    std::vector<std::string> words;
    std::size_t arguments;
    exit_code (*run)(command_context&);
};

const std::vector<command_row>& command_rows() {
    static const std::vector<command_row> rows{{{"check"}, 1, run_check},
                                               {{"apply"}, 1, run_apply},
                                               {{"diff"}, 1, run_diff},
                                               {{"history"}, 0, run_history},
                                               {{"key", "add"}, 3, run_key_add},
                                               {{"key", "withdraw"}, 2, run_key_withdraw},
                                               {{"drain", "start"}, 3, run_drain_start},
                                               {{"drain", "stop"}, 1, run_drain_stop},
                                               {{"drain", "status"}, 0, run_drain_status},
                                               {{"status"}, 0, run_status},
                                               {{"burn"}, 0, run_burn},
                                               {{"explain"}, 2, run_explain}};
    return rows;
}

} // namespace

exit_code run_command(const ctl_options& options, std::ostream& out, std::ostream& error) {
    command_context context{options, out, error, {}, watchdog{context.time}, std::nullopt};
    for (const command_row& row : command_rows()) {
        const bool fits = options.words.size() == row.words.size() + row.arguments &&
                          std::equal(row.words.begin(), row.words.end(), options.words.begin());
        if (fits) {
            return row.run(context);
        }
    }
    error << "no such command, or a word too few or too many\n\n" << ctl_help();
    return exit_code::invalid;
}

} // namespace cassiaspan
