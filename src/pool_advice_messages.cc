// Encodes and decodes the messages of advice calls that members make for the leader.

#include "pool_advice_messages.h"

#include "sesamesill/json.h"

namespace sesamesill::pool {

std::string encode(const advice_request& request)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    out.Key("step");
    write_string(out, request.step);
    out.Key("timeout_ms");
    out.Int64(request.timeout.count());
    out.Key("workers");
    out.StartArray();
    for (const std::string& w : request.workers) {
        write_string(out, w);
    }
    out.EndArray();
    out.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<advice_request> decode_advice_request(const std::string& text, error& why)
{
    try {
        json_document value;
        parse_object(value, text);
        advice_request request;
        request.step = to_string(field(value, "step"));
        request.timeout = millis(to_integer(field(value, "timeout_ms")));
        for (const json_value& w : to_array(field(value, "workers"))) {
            request.workers.push_back(to_string(w));
        }
        return request;
    }
    catch (const json_error& e) {
        why = {error_code::corrupt, step::rpc, "", std::string("advice request: ") + e.what()};
        return std::nullopt;
    }
}

std::string encode(const advice_answer& answer)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    out.Key("good");
    out.Bool(answer.ok);
    out.Key("valid_ms");
    out.Int64(answer.valid.count());
    out.Key("reason");
    write_string(out, answer.why.reason);
    out.Key("approved");
    out.StartArray();
    for (const approval& a : answer.approved) {
        out.StartArray();
        write_string(out, a.worker);
        write_string(out, a.ticket);
        out.EndArray();
    }
    out.EndArray();
    out.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

advice_answer decode_advice_answer(const std::string& text)
{
    advice_answer answer;
    try {
        json_document value;
        parse_object(value, text);
        answer.valid = millis(to_integer(field(value, "valid_ms")));
        answer.why.reason = to_string(field(value, "reason"));
        for (const json_value& row : to_array(field(value, "approved"))) {
            answer.approved.push_back({to_string(element(row, 0)), to_string(element(row, 1))});
        }
        answer.ok = to_flag(field(value, "good"));
    }
    catch (const json_error& e) {
        answer = {};
        answer.why = {error_code::corrupt, step::rpc, "",
                      std::string("advice answer: ") + e.what()};
    }
    return answer;
}

} // namespace sesamesill::pool
