#include "prefix_table.h"

#include <algorithm>

namespace cassiaspan {

namespace {

std::uint64_t end_of(const client_prefix& prefix) {
    return std::uint64_t{prefix.address} + (std::uint64_t{1} << (32U - prefix.prefix_length));
}

bool same_prefix(const client_prefix& a, const client_prefix& b) {
    return a.address == b.address && a.prefix_length == b.prefix_length;
}

bool before(const client_prefix& a, const client_prefix& b) {
    return a.address != b.address ? a.address < b.address : a.prefix_length < b.prefix_length;
}

// Sorts by address and length. Of equal prefixes only the last one remains.
void sort_prefixes(std::vector<client_prefix>& prefixes) {
    std::stable_sort(prefixes.begin(), prefixes.end(), before);
    std::size_t kept = 0;
    for (const client_prefix& prefix : prefixes) {
        const bool again = kept > 0 && same_prefix(prefixes[kept - 1], prefix);
        kept += again ? 0 : 1;
        prefixes[kept - 1] = prefix;
    }
    prefixes.resize(kept);
}

} // namespace

prefix_table prefix_table::make(std::vector<client_prefix> prefixes) {
    prefix_table table;
    sort_prefixes(prefixes);
    table.prefixes = std::move(prefixes);
    table.prefixes.shrink_to_fit();
    table.flatten();
    return table;
}

prefix_table prefix_table::with_changes(const std::vector<client_prefix>& changes) const {
    std::vector<client_prefix> all = this->prefixes;
    all.insert(all.end(), changes.begin(), changes.end());
    return make(std::move(all));
}

// Sweeps over the sorted prefixes, with a stack of those that contain the current address.
void prefix_table::flatten() {
    std::vector<client_prefix> open;
    const auto begin_range = [this](std::uint64_t start, std::uint16_t site) {
        if (start > 0xffffffffU) {
            return;
        }
        if (!this->starts.empty() && this->starts.back() == start) {
            this->sites.back() = site;
        } else if (this->sites.empty() || this->sites.back() != site) {
            this->starts.push_back(static_cast<std::uint32_t>(start));
            this->sites.push_back(site);
        }
    };
    const auto close_until = [&](std::uint64_t address) {
        while (!open.empty() && end_of(open.back()) <= address) {
            const std::uint64_t end = end_of(open.back());
            open.pop_back();
            begin_range(end, open.empty() ? no_site : open.back().site);
        }
    };
    begin_range(0, no_site);
    for (const client_prefix& prefix : this->prefixes) {
        close_until(prefix.address);
        begin_range(prefix.address, prefix.site);
        open.push_back(prefix);
    }
    close_until(std::uint64_t{1} << 32U);
    this->starts.shrink_to_fit();
    this->sites.shrink_to_fit();
    this->index.resize(index_entries);
    for (std::size_t upper = 0; upper + 1 < index_entries; ++upper) {
        const auto first = std::upper_bound(this->starts.begin(), this->starts.end(),
                                            static_cast<std::uint32_t>(upper << 16U));
        this->index[upper] = static_cast<std::uint32_t>(first - this->starts.begin()) - 1;
    }
    this->index.back() = static_cast<std::uint32_t>(this->starts.size()) - 1;
}

std::optional<std::uint16_t> prefix_table::find(std::uint32_t address) const {
    const std::size_t upper = address >> 16U;
    const auto first = this->starts.begin() + this->index[upper];
    const auto last = this->starts.begin() + this->index[upper + 1] + 1;
    const auto next = std::upper_bound(first, last, address);
    const std::uint16_t site = this->sites[static_cast<std::size_t>(next - this->starts.begin()) - 1];
    return site == no_site ? std::nullopt : std::optional(site);
}

std::size_t prefix_table::bytes() const {
    return this->prefixes.capacity() * sizeof(client_prefix) +
           this->starts.capacity() * sizeof(std::uint32_t) + this->sites.capacity() * sizeof(std::uint16_t) +
           this->index.capacity() * sizeof(std::uint32_t);
}

} // namespace cassiaspan
