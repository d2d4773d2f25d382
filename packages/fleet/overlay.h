// Chooses the peers that a VM pulls from: a bounded number, some near and some far, the same at every try.
#pragma once

#include "head.pb.h"
#include "platform.pb.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cassiaspan {

// Links that lead out of the own availability zone, and out of the own region, where there are such VMs.
constexpr std::size_t min_links_outside_zone = 3;
constexpr std::size_t min_links_outside_region = 2;

// Returns the rows of `list` that `self` pulls from: at most `degree`, chosen by rendezvous hashing.
[[nodiscard]] std::vector<schema::Vm> choose_overlay_peers(const schema::VmList& list,
                                                           const schema::Member& self, std::size_t degree);

} // namespace cassiaspan
