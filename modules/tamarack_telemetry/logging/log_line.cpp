#include "log_line.h"

#include <algorithm>
#include <array>

namespace tamarack {

namespace {

constexpr char first_printable = 0x21;
constexpr unsigned char delete_character = 0x7f;
constexpr unsigned low_nibble = 0x0f;
constexpr unsigned nibble_bits = 4;

bool is_plain(char character) {
    return character >= first_printable && static_cast<unsigned char>(character) != delete_character &&
           character != '"' && character != '\\' && character != '=';
}

void append_escaped(std::string& line, char character) {
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (character == '\n') {
        line += "\\n";
    } else if (byte < static_cast<unsigned char>(' ') || byte >= delete_character) {
        line += "\\x";
        line += digits[byte >> nibble_bits];
        line += digits[byte & low_nibble];
    } else {
        line += character;
    }
}

void append_value(std::string& line, const std::string& value) {
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        append_escaped(line, character);
    }
    line += '"';
}

} // namespace

std::string format_log_line(const host_id& host, std::string_view event, ticket_number ticket,
                            std::initializer_list<log_field> fields) {
    std::string line = host.empty() ? std::string{"-"} : host.value();
    line += ' ';
    line += event;
    line += " ticket=" + std::to_string(ticket.value);
    for (const auto& [key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        append_value(line, value);
    }
    return line;
}

} // namespace tamarack
