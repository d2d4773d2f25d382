#include "ctl_options.h"

#include "address.h"

#include <boost/program_options.hpp>
#include <map>
#include <sstream>

namespace cassiaspan {

namespace {

namespace options = boost::program_options;

constexpr const char* commands =
    "Commands:\n"
    "  check FILE                        check a configuration, without the network\n"
    "  apply FILE                        put a configuration in force\n"
    "  diff FILE                         show what apply would change\n"
    "  history                           show the latest changes\n"
    "  key add WORKSPACE ID SHA256       give a key\n"
    "  key withdraw WORKSPACE ID         withdraw a key\n"
    "  drain start NAME target|zone|region SUBJECT\n"
    "                                    stop new work there\n"
    "  drain stop NAME                   let work come again\n"
    "  drain status                      show what is still in flight\n"
    "  status                            show all VMs\n"
    "  burn                              show the burn of the service-level objectives\n"
    "  explain WORKSPACE SERVICE         show where a request would go, and why\n"
    "\n"
    "Exit codes: 0 accepted or done, 1 failed, 2 wrong input, 3 pending, 4 conflict with another change.\n";

options::options_description describe() {
    options::options_description description("Settings");
    description.add_options()("store-address", options::value<std::string>()->default_value(""),
                              "IP:port of the key-value service");
    description.add_options()("vm-list-address", options::value<std::string>()->default_value(""),
                              "IP:port of the list of VMs");
    description.add_options()("operator-name", options::value<std::string>()->default_value("operator"),
                              "who makes the change, for the history");
    description.add_options()("base", options::value<std::uint64_t>()->default_value(0),
                              "generation that the change is meant for; 0: the present one");
    description.add_options()("wait-ms", options::value<std::int64_t>()->default_value(5000),
                              "how long to wait for acceptance, milliseconds");
    description.add_options()("json", "print JSON");
    description.add_options()("help", "print this text and exit");
    return description;
}

std::string map_variable(const std::string& variable) {
    static const std::map<std::string, std::string> names{{"CASSIASPAN_STORE_ADDRESS", "store-address"},
                                                          {"CASSIASPAN_VM_LIST_ADDRESS", "vm-list-address"},
                                                          {"CASSIASPAN_OPERATOR_NAME", "operator-name"}};
    const auto found = names.find(variable);
    return found == names.end() ? "" : found->second;
}

} // namespace

std::string ctl_help() {
    std::ostringstream text;
    text << "cassiactl [SETTINGS] COMMAND\n\n" << commands << "\n" << describe();
    return text.str();
}

tl::expected<ctl_options, findings> read_ctl_options(const std::vector<std::string>& arguments) {
    options::variables_map values;
    options::options_description all = describe();
    all.add_options()("word", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("word", -1);
    try {
        options::store(options::command_line_parser(arguments).options(all).positional(positional).run(),
                       values);
        options::store(options::parse_environment(describe(), map_variable), values);
    } catch (const options::error& error) {
        return tl::make_unexpected(findings{{"command line", error.what()}});
    }
    ctl_options result;
    result.store_address = values["store-address"].as<std::string>();
    result.vm_list_address = values["vm-list-address"].as<std::string>();
    result.operator_name = values["operator-name"].as<std::string>();
    result.base = values["base"].as<std::uint64_t>();
    result.wait = milliseconds{values["wait-ms"].as<std::int64_t>()};
    result.json = values.count("json") > 0;
    result.help = values.count("help") > 0;
    if (values.count("word") > 0) {
        result.words = values["word"].as<std::vector<std::string>>();
    }
    findings found;
    for (const auto& [flag, text] : {std::pair{"--store-address", result.store_address},
                                     std::pair{"--vm-list-address", result.vm_list_address}}) {
        if (!text.empty() && !parse_address(text)) {
            found.push_back({flag, "\"" + text + "\" is not IP:port"});
        }
    }
    if (!found.empty()) {
        return tl::make_unexpected(found);
    }
    return result;
}

} // namespace cassiaspan
