// The burn of service-level objectives: how fast each workspace's error budget is used up.
//
// Burn rate and windows follow the multi-window alerts of the SRE Workbook, chapter 5 (Google, 2018):
// burn = share of bad requests / (1 - objective); 1 uses the budget up in exactly 30 days.
#pragma once

#include "caller.pb.h"
#include "config.pb.h"

#include <compare>
#include <string>
#include <vector>

namespace cassiaspan {

// One objective over one window.
struct burn_row {
    std::string workspace;
    std::string service;
    // "availability" or "latency".
    std::string objective;
    std::uint32_t window_s = 0;
    std::uint64_t requests = 0;
    std::uint64_t bad = 0;
    double burn = 0;
    // Share of the 30 days' budget that this window has used.
    double budget_used = 0;
    auto operator<=>(const burn_row&) const = default;
};

// Adds up the VMs' samples and compares them with the objectives.
[[nodiscard]] std::vector<burn_row> make_burn_report(const schema::Configuration& configuration,
                                                     const std::vector<schema::BurnSample>& samples);

// Renders the report as a table or as JSON.
[[nodiscard]] std::string render_burn_table(const std::vector<burn_row>& rows);
[[nodiscard]] std::string render_burn_json(const std::vector<burn_row>& rows);

} // namespace cassiaspan
