// Reads JSON by RapidJSON, for messages that are frequent enough for their cost to matter. Fields
// are checked: an absent one or null has its type's zero, one of another type throws `json_error`.

#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace sesamesill {

using json_document = rapidjson::Document;
using json_value = rapidjson::Value;
using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// A field that is missing its place or has another type than its reader expects.
class json_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Parses `text`, which must be one object; throws `json_error` if it isn't. Nesting of any depth
/// takes no stack.
void parse_object(json_document& document, const std::string& text);

/// Returns the object's member, or a null value if there is none.
const json_value& field(const json_value& object, const char* name);
/// Returns the array's element, or a null value if the array ends before it.
const json_value& element(const json_value& array, std::size_t index);

std::int64_t to_integer(const json_value& value);
std::uint64_t to_unsigned(const json_value& value);
/// Returns the integer; throws `json_error` if it isn't within the range of `int`.
int to_int(const json_value& value);
double to_number(const json_value& value);
bool to_flag(const json_value& value);
std::string to_string(const json_value& value);
/// Returns the array itself, or an empty array for null.
json_value::ConstArray to_array(const json_value& value);

void write_string(json_writer& writer, const std::string& text);

} // namespace sesamesill
