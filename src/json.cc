// Implements checked access to RapidJSON values, whose own accessors don't check types.

#include "sesamesill/json.h"

#include <limits>

namespace sesamesill {
namespace {

const json_value null_value;
const json_value empty_array{rapidjson::kArrayType};

} // namespace

void parse_object(json_document& document, const std::string& text)
{
    document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
    if (document.HasParseError()) {
        throw json_error("malformed JSON at byte " + std::to_string(document.GetErrorOffset()));
    }
    if (!document.IsObject()) {
        throw json_error("must be a JSON object");
    }
}

const json_value& field(const json_value& object, const char* name)
{
    if (!object.IsObject()) {
        throw json_error(std::string("no object holds ") + name);
    }
    const auto known = object.FindMember(name);
    return known != object.MemberEnd() ? known->value : null_value;
}

const json_value& element(const json_value& array, std::size_t index)
{
    if (!array.IsArray()) {
        throw json_error("a row must be an array");
    }
    return index < array.Size() ? array[static_cast<rapidjson::SizeType>(index)] : null_value;
}

std::int64_t to_integer(const json_value& value)
{
    if (value.IsInt64()) {
        return value.GetInt64();
    }
    constexpr double limit = 9.0e18; ///< below 2^63, so that the conversion is defined
    if (value.IsDouble() && value.GetDouble() > -limit && value.GetDouble() < limit) {
        return static_cast<std::int64_t>(value.GetDouble());
    }
    if (!value.IsNull()) {
        throw json_error("an integer is expected");
    }
    return 0;
}

std::uint64_t to_unsigned(const json_value& value)
{
    if (value.IsUint64()) {
        return value.GetUint64();
    }
    if (!value.IsNull()) {
        throw json_error("an integer of at least 0 is expected");
    }
    return 0;
}

int to_int(const json_value& value)
{
    const std::int64_t wide = to_integer(value);
    if (wide < std::numeric_limits<int>::min() || wide > std::numeric_limits<int>::max()) {
        throw json_error("an integer is out of range");
    }
    return static_cast<int>(wide);
}

double to_number(const json_value& value)
{
    if (!value.IsNumber() && !value.IsNull()) {
        throw json_error("a number is expected");
    }
    return value.IsNumber() ? value.GetDouble() : 0;
}

bool to_flag(const json_value& value)
{
    if (!value.IsBool() && !value.IsNull()) {
        throw json_error("true or false is expected");
    }
    return value.IsBool() && value.GetBool();
}

std::string to_string(const json_value& value)
{
    if (!value.IsString() && !value.IsNull()) {
        throw json_error("a string is expected");
    }
    return value.IsString() ? std::string(value.GetString(), value.GetStringLength())
                            : std::string();
}

json_value::ConstArray to_array(const json_value& value)
{
    if (!value.IsArray() && !value.IsNull()) {
        throw json_error("an array is expected");
    }
    return value.IsArray() ? value.GetArray() : empty_array.GetArray();
}

void write_string(json_writer& writer, const std::string& text)
{
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

} // namespace sesamesill
