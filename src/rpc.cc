// Implements the JSON-RPC server and calls. The only source that includes libjsonrpccpp.

#include "sesamesill/rpc.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "sesamesill/log.h"

namespace sesamesill {

struct rpc_server::state : jsonrpc::IProcedureInvokationHandler {
    std::map<std::string, rpc_method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)};

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        error why;
        std::optional<Json::Value> result;
        try {
            result = methods.at(procedure.GetProcedureName())(input, why);
        }
        catch (const Json::Exception& e) {
            why = {error_code::invalid, step::rpc, "",
                   procedure.GetProcedureName() + ": malformed parameters: " + e.what()};
            log_error("rpc_unreadable", why);
        }
        if (!result) {
            Json::Value data;
            data["code"] = std::string(name_of(why.code));
            data["step"] = std::string(name_of(why.where));
            data["peer"] = why.peer;
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, why.reason,
                                            data);
        }
        output = *result;
    }

    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                                const Json::Value& /*input*/) override
    {
    }
};

rpc_server::rpc_server() : state_(std::make_unique<state>()) {}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& name, rpc_method method)
{
    state_->methods[name] = std::move(method);
    state_->protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string rpc_server::handle(const std::string& request)
{
    std::string answer;
    state_->protocol->HandleRequest(request, answer);
    return answer;
}

std::string to_text(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder b;
        b["indentation"] = "";
        return b;
    }();
    return Json::writeString(builder, value);
}

std::optional<Json::Value> json_from(const std::string& text)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder b;
        Json::CharReaderBuilder::strictMode(&b.settings_);
        b.settings_["stackLimit"] = 64;
        b.settings_["strictRoot"] = false;
        return b;
    }();
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return std::nullopt;
        }
    }
    catch (const Json::Exception&) {
        return std::nullopt; // thrown where the nesting exceeds the stack limit
    }
    return value;
}

void call_rpc(http_client& client, const endpoint& to, const std::string& method,
              const Json::Value& params, millis timeout, rpc_done done)
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = method;
    request["params"] = params;
    http_call call;
    call.method = "POST";
    call.path = "/rpc";
    call.body = to_text(request);
    call.timeout = timeout;
    const std::string peer = to_string(to);
    client.send(
        to, std::move(call),
        [peer, done = std::move(done)](const std::optional<http_reply>& reply, const error& why) {
            if (!reply) {
                done(std::nullopt, {why.code, step::rpc, peer, why.reason});
                return;
            }
            const std::optional<Json::Value> answer = json_from(reply->body);
            if (!answer || !answer->isObject() || !answer->isMember("result")) {
                std::string reason = "response has no result";
                if (answer && answer->isObject() && (*answer)["error"].isObject() &&
                    (*answer)["error"]["message"].isString()) {
                    reason = (*answer)["error"]["message"].asString();
                }
                done(std::nullopt, {error_code::invalid, step::rpc, peer, reason});
                return;
            }
            try {
                done((*answer)["result"], {});
            }
            catch (const Json::Exception& e) {
                log_error("rpc_answer_unreadable",
                          {error_code::corrupt, step::rpc, peer, e.what()});
            }
        });
}

} // namespace sesamesill
