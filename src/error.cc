// Name tables of error codes and steps, and the text form of errors.

#include "sesamesill/error.h"

#include "sesamesill/names.h"

namespace sesamesill {
namespace {

constexpr name_table<error_code, 13> code_names{{{error_code::none, "none"},
                                                 {error_code::invalid, "invalid"},
                                                 {error_code::not_found, "not_found"},
                                                 {error_code::conflict, "conflict"},
                                                 {error_code::not_owner, "not_owner"},
                                                 {error_code::overload, "overload"},
                                                 {error_code::timeout, "timeout"},
                                                 {error_code::unavailable, "unavailable"},
                                                 {error_code::unreachable, "unreachable"},
                                                 {error_code::unfit, "unfit"},
                                                 {error_code::cancelled, "cancelled"},
                                                 {error_code::corrupt, "corrupt"},
                                                 {error_code::internal, "internal"}}};

constexpr name_table<step, 17> step_names{{{step::none, "none"},
                                           {step::settings, "settings"},
                                           {step::document, "document"},
                                           {step::admission, "admission"},
                                           {step::routing, "routing"},
                                           {step::queueing, "queueing"},
                                           {step::intent, "intent"},
                                           {step::placement, "placement"},
                                           {step::dispatch, "dispatch"},
                                           {step::answer, "answer"},
                                           {step::log_append, "log_append"},
                                           {step::log_read, "log_read"},
                                           {step::membership, "membership"},
                                           {step::ownership, "ownership"},
                                           {step::recovery, "recovery"},
                                           {step::rpc, "rpc"},
                                           {step::http, "http"}}};

} // namespace

std::string_view name_of(error_code code)
{
    return name_in(code_names, code);
}

std::string_view name_of(step where)
{
    return name_in(step_names, where);
}

std::string to_string(const error& e)
{
    std::string text(name_of(e.where));
    text.append(": ").append(name_of(e.code)).append(": ").append(e.reason);
    if (!e.peer.empty()) {
        text.append(" (").append(e.peer).append(")");
    }
    return text;
}

} // namespace sesamesill
