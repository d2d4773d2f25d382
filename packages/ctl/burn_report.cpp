#include "burn_report.h"

#include <algorithm>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>

namespace cassiaspan {

namespace {

constexpr double month_s = 30.0 * 24 * 3600;

using window_key = std::tuple<std::string, std::string, std::uint32_t>;

std::map<window_key, schema::BurnSample> add_up(const std::vector<schema::BurnSample>& samples) {
    std::map<window_key, schema::BurnSample> sums;
    for (const auto& sample : samples) {
        auto& sum = sums[{sample.workspace(), sample.service(), sample.window_s()}];
        sum.set_requests(sum.requests() + sample.requests());
        sum.set_failed(sum.failed() + sample.failed());
        sum.set_slow(sum.slow() + sample.slow());
    }
    return sums;
}

burn_row make_row(const window_key& key, const std::string& objective, double ratio, std::uint64_t requests,
                  std::uint64_t bad) {
    const auto& [workspace, service, window_s] = key;
    burn_row row{workspace, service, objective, window_s, requests, bad, 0, 0};
    if (requests > 0) {
        row.burn = static_cast<double>(bad) / static_cast<double>(requests) / (1 - ratio);
        row.budget_used = row.burn * window_s / month_s;
    }
    return row;
}

} // namespace

std::vector<burn_row> make_burn_report(const schema::Configuration& configuration,
                                       const std::vector<schema::BurnSample>& samples) {
    std::vector<burn_row> rows;
    const auto sums = add_up(samples);
    for (const auto& workspace : configuration.workspaces()) {
        if (!workspace.has_objective()) {
            continue;
        }
        for (const auto& [key, sum] : sums) {
            if (std::get<0>(key) == workspace.name() && !std::get<1>(key).empty()) {
                const auto& objective = workspace.objective();
                rows.push_back(make_row(key, "availability", objective.availability_ratio(), sum.requests(),
                                        sum.failed()));
                rows.push_back(
                    make_row(key, "latency", objective.latency_ratio(), sum.requests(), sum.slow()));
            }
        }
    }
    return rows;
}

std::string render_burn_table(const std::vector<burn_row>& rows) {
    std::ostringstream text;
    text << std::left << std::setw(16) << "workspace" << std::setw(12) << "service" << std::setw(14)
         << "objective" << std::right << std::setw(9) << "window" << std::setw(10) << "requests"
         << std::setw(8) << "bad" << std::setw(10) << "burn" << std::setw(14) << "month used\n";
    for (const burn_row& row : rows) {
        text << std::left << std::setw(16) << row.workspace << std::setw(12) << row.service << std::setw(14)
             << row.objective << std::right << std::setw(7) << row.window_s / 60 << " m" << std::setw(10)
             << row.requests << std::setw(8) << row.bad << std::setw(10) << std::fixed << std::setprecision(2)
             << row.burn << std::setw(11) << std::setprecision(3) << 100 * row.budget_used << " %\n";
    }
    return text.str();
}

std::string render_burn_json(const std::vector<burn_row>& rows) {
    google::protobuf::ListValue list;
    for (const burn_row& row : rows) {
        auto& fields = *list.add_values()->mutable_struct_value()->mutable_fields();
        fields["workspace"].set_string_value(row.workspace);
        fields["service"].set_string_value(row.service);
        fields["objective"].set_string_value(row.objective);
        fields["windowS"].set_number_value(row.window_s);
        fields["requests"].set_number_value(static_cast<double>(row.requests));
        fields["bad"].set_number_value(static_cast<double>(row.bad));
        fields["burn"].set_number_value(row.burn);
        fields["budgetUsed"].set_number_value(row.budget_used);
    }
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(list, &text));
    return text + "\n";
}

} // namespace cassiaspan
