// Holds the environment document in force and takes new ones from operators.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "journal_service.h"
#include "sesamesill/environment.h"
#include "sesamesill/http.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class document_service {
public:
    document_service(journal_service& journal, const node_settings& settings);

    /// Adds the operators' calls to `server`.
    void serve(http_server& server);

    const std::optional<environment>& current() const { return current_; }
    std::uint64_t version() const { return version_; }
    void on_change(std::function<void()> action) { changed_.push_back(std::move(action)); }

private:
    void take(const journal_item& item);
    void publish(const http_request& request, const http_respond& respond);
    void show(const http_request& request, const http_respond& respond) const;
    bool allowed(const http_request& request) const;

    journal_service& journal_;
    const node_settings& settings_;
    std::optional<environment> current_;
    std::uint64_t version_ = 0; ///< 0: none; never goes back
    std::vector<std::function<void()>> changed_;
};

} // namespace sesamesill
