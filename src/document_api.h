// HTTP API of operators for documents: show, check, publish, promote and roll back.

#pragma once

#include <string>

#include "document_service.h"
#include "sesamesill/http.h"
#include "sesamesill/settings.h"

namespace sesamesill {

class document_api {
public:
    document_api(document_service& documents, const node_settings& settings);

    void serve(http_server& server);

private:
    void show(const http_request& request, const http_respond& respond) const;
    void change(const http_request& request, const http_respond& respond);
    void publish(const http_request& request, const http_respond& respond,
                 const std::string& target, const std::string& who);
    void promote(const http_request& request, const http_respond& respond,
                 const std::string& target, const std::string& who);
    void roll_back(const http_request& request, const http_respond& respond,
                   const std::string& target, const std::string& who);
    void submit(const publication_record& record, const http_respond& respond);
    void answer(const publication_record& record, std::optional<publication_verdict> verdict,
                const error& why, const http_respond& respond) const;
    publication_record new_record(const http_request& request, const std::string& target,
                                  const std::string& who) const;

    document_service& documents_;
    const node_settings& settings_;
};

} // namespace sesamesill
