// Requests for work that callers submit, checked against the current document.

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
    millis deadline{0}; ///< counted from arrival; at most the deadline of the class
    std::string body;   ///< calls only: passed to the executor unchanged
    std::int64_t tasks = 1;
    resources size;      ///< resources of each task
    millis run_time{0};  ///< estimate of the caller, often wrong
    Json::Value payload; ///< passed to the worker unchanged
};

/// Returns the submission, or nullopt and sets `why` to a reason that names the invalid field.
std::optional<submission> submission_from(const Json::Value& body, const environment& document,
                                          error& why);

/// Returns the form in which members forward a submission and write it to the log.
Json::Value to_json(const submission& s);

/// Returns the id of a request in the cell. Retries with the same key get the same id.
std::string request_id(const std::string& organisation, const std::string& key);

} // namespace sesamesill
