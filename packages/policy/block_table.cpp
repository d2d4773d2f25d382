#include "block_table.h"

#include <algorithm>

namespace cassiaspan {

namespace {

std::uint64_t end_of(const client_block& block) {
    return std::uint64_t{block.address} + (std::uint64_t{1} << (32U - block.prefix_bits));
}

bool same_prefix(const client_block& a, const client_block& b) {
    return a.address == b.address && a.prefix_bits == b.prefix_bits;
}

bool before(const client_block& a, const client_block& b) {
    return a.address != b.address ? a.address < b.address : a.prefix_bits < b.prefix_bits;
}

// Sorts by prefix; of equal ones the last stays.
void sort_blocks(std::vector<client_block>& blocks) {
    std::stable_sort(blocks.begin(), blocks.end(), before);
    std::size_t kept = 0;
    for (const client_block& block : blocks) {
        const bool again = kept > 0 && same_prefix(blocks[kept - 1], block);
        kept += again ? 0 : 1;
        blocks[kept - 1] = block;
    }
    blocks.resize(kept);
}

} // namespace

block_table block_table::make(std::vector<client_block> blocks) {
    block_table table;
    sort_blocks(blocks);
    table.blocks = std::move(blocks);
    table.blocks.shrink_to_fit();
    table.flatten();
    return table;
}

block_table block_table::with(const std::vector<client_block>& changes) const {
    std::vector<client_block> all = this->blocks;
    all.insert(all.end(), changes.begin(), changes.end());
    return make(std::move(all));
}

// Walks the sorted prefixes with a stack of those that contain the present address.
void block_table::flatten() {
    std::vector<client_block> open;
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
    for (const client_block& block : this->blocks) {
        close_until(block.address);
        begin_range(block.address, block.site);
        open.push_back(block);
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

std::optional<std::uint16_t> block_table::find(std::uint32_t address) const {
    const std::size_t upper = address >> 16U;
    const auto first = this->starts.begin() + this->index[upper];
    const auto last = this->starts.begin() + this->index[upper + 1] + 1;
    const auto next = std::upper_bound(first, last, address);
    const std::uint16_t site = this->sites[static_cast<std::size_t>(next - this->starts.begin()) - 1];
    return site == no_site ? std::nullopt : std::optional(site);
}

std::size_t block_table::bytes() const {
    return this->blocks.capacity() * sizeof(client_block) + this->starts.capacity() * sizeof(std::uint32_t) +
           this->sites.capacity() * sizeof(std::uint16_t) + this->index.capacity() * sizeof(std::uint32_t);
}

} // namespace cassiaspan
