// HTTP parsers that reject fields which Boost.Beast cannot store. Its own parsers throw std::length_error for
// them, out of the event loop, as the handlers of composed reads run outside any coroutine.
#pragma once

#include "asio_types.h"

#include <cstddef>

namespace cassiaspan {

// Longest name, and longest value, of a header or trailer field, in bytes: http::fields stores the length of
// either, with two further characters, in 16 bits.
constexpr std::size_t max_field_bytes = 65'533;

// A message parser that ends with http::error::header_limit at a field that is too long.
template <bool IsRequest> class bounded_parser final : public http::parser<IsRequest, http::buffer_body> {
private:
    void on_field_impl(http::field name, boost::beast::string_view name_text, boost::beast::string_view value,
                       error_code& error) override {
        if (name_text.size() > max_field_bytes || value.size() > max_field_bytes) {
            error = http::error::header_limit;
            return;
        }
        this->get().insert(name, name_text, value);
    }
};

} // namespace cassiaspan
