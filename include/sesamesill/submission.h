// What callers submit, checked against the document in force.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <json/json.h>

#include "sesamesill/clock.h"
#include "sesamesill/environment.h"
#include "sesamesill/error.h"
#include "sesamesill/resources.h"
#include "sesamesill/work.h"

namespace sesamesill {

/// Invariant: organisation and class are known to the document that it was checked against.
struct submission {
    std::string organisation;
    std::string work_class;
    std::string key; ///< idempotency key, chosen by the caller
    work_kind kind = work_kind::call;
    bool idempotent = true;
    millis deadline{0}; ///< from arrival; never above the class's own
    std::string body;   ///< calls: handed to the executor as it is
    std::int64_t tasks = 1;
    resources size;      ///< of each task
    millis run_time{0};  ///< declared by the caller, often wrong
    Json::Value payload; ///< handed to the worker as it is
};

/// Returns the submission, or nothing and a reason that names the field.
std::optional<submission> submission_from(const Json::Value& body, const environment& document,
                                          error& why);

/// Returns the form in which members pass it on and write it into the log.
Json::Value to_json(const submission& s);

/// Returns the id under which the cell knows a request: the same for each retry of its key.
std::string request_id(const std::string& organisation, const std::string& key);

} // namespace sesamesill
