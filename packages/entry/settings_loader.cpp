#include "settings_loader.h"

#include "address.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <sstream>

namespace cassiaspan {

namespace {

namespace options = boost::program_options;
using google::protobuf::FieldDescriptor;

constexpr const char* environment_prefix = "CASSIASPAN_";

std::string flag_name(const FieldDescriptor& field) {
    std::string name = field.name();
    std::replace(name.begin(), name.end(), '_', '-');
    return name;
}

template <class Action> void for_each_setting(Action&& action) {
    const auto* descriptor = schema::Settings::descriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        action(*descriptor->field(i), descriptor->field(i)->options().GetExtension(schema::rule));
    }
}

options::options_description describe() {
    options::options_description description("Settings");
    for_each_setting([&](const FieldDescriptor& field, const schema::SettingRule& rule) {
        auto* value = options::value<std::string>();
        if (!rule.default_value().empty()) {
            value->default_value(rule.default_value());
        }
        description.add_options()(flag_name(field).c_str(), value, rule.help().c_str());
    });
    description.add_options()("help", "print this text and exit");
    return description;
}

void set_integer(schema::Settings& settings, const FieldDescriptor& field, const schema::SettingRule& rule,
                 const std::string& text, findings& found) {
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        found.push_back({"--" + flag_name(field), "\"" + text + "\" is not a whole number"});
    } else if (value < rule.min() || value > rule.max()) {
        found.push_back({"--" + flag_name(field), text + " is not between " + std::to_string(rule.min()) +
                                                      " and " + std::to_string(rule.max())});
    } else {
        settings.GetReflection()->SetInt64(&settings, &field, value);
    }
}

void set_field(schema::Settings& settings, const FieldDescriptor& field, const schema::SettingRule& rule,
               const options::variables_map& values, findings& found) {
    const auto entry = values.find(flag_name(field));
    if (entry == values.end()) {
        return;
    }
    const std::string text = entry->second.as<std::string>();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_INT64) {
        set_integer(settings, field, rule, text, found);
        return;
    }
    settings.GetReflection()->SetString(&settings, &field, text);
    const bool is_address =
        field.name().size() > 8 && field.name().substr(field.name().size() - 8) == "_address";
    if (is_address && (!text.empty() || rule.required()) && !parse_address(text)) {
        found.push_back({"--" + flag_name(field), "\"" + text + "\" is not IP:port"});
    }
}

void check_required(const schema::Settings& settings, findings& found) {
    for_each_setting([&](const FieldDescriptor& field, const schema::SettingRule& rule) {
        const bool place = field.name() == "region" || field.name() == "availability_zone";
        if (rule.required() && (settings.standalone().empty() || place) &&
            settings.GetReflection()->GetString(settings, &field).empty()) {
            found.push_back({"--" + flag_name(field), "is needed"});
        }
    });
}

void check_choice(const std::string& flag, const std::string& value, const std::vector<std::string>& choices,
                  findings& found) {
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        found.push_back({flag, "\"" + value + "\" is not one of the choices"});
    }
}

// Environment variables that begin with the prefix but are no setting are findings too: a typing error must
// not pass.
std::string map_variable(const std::string& variable, findings& found) {
    const std::string prefix = environment_prefix;
    if (variable.rfind(prefix, 0) != 0) {
        return "";
    }
    std::string name = variable.substr(prefix.size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(c == '_' ? '-' : std::tolower(c)); });
    bool known = false;
    for_each_setting([&](const FieldDescriptor& field, const schema::SettingRule& /*rule*/) {
        known = known || flag_name(field) == name;
    });
    if (!known) {
        found.push_back({variable, "is no setting"});
        return "";
    }
    return name;
}

} // namespace

std::string settings_help() {
    std::ostringstream text;
    text << "cassiaspan steers traffic from callers to targets.\n"
            "Each setting is a flag, or an environment variable CASSIASPAN_NAME with '_' for '-'.\n\n"
         << describe();
    return text.str();
}

tl::expected<schema::Settings, findings> load_settings(const std::vector<std::string>& arguments) {
    findings found;
    options::variables_map values;
    const auto description = describe();
    try {
        const options::positional_options_description no_positional;
        options::store(
            options::command_line_parser(arguments).options(description).positional(no_positional).run(),
            values);
        options::store(options::parse_environment(
                           description, [&](const std::string& name) { return map_variable(name, found); }),
                       values);
    } catch (const options::error& error) {
        found.push_back({"command line", error.what()});
        return tl::make_unexpected(found);
    }
    schema::Settings settings;
    for_each_setting([&](const FieldDescriptor& field, const schema::SettingRule& rule) {
        set_field(settings, field, rule, values, found);
    });
    check_required(settings, found);
    check_choice("--log-format", settings.log_format(), {"text", "json"}, found);
    check_choice("--log-level", settings.log_level(), {"debug", "info", "warning", "error"}, found);
    if (!found.empty()) {
        return tl::make_unexpected(found);
    }
    return settings;
}

} // namespace cassiaspan
