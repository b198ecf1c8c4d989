#include "host_dispatcher.h"

#include <json/value.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace tamarack {

namespace {

const std::string unparsable_reply =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"the request can't be parsed"}})";

} // namespace

struct host_dispatcher::implementation : jsonrpc::IProcedureInvokationHandler {
    implementation()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)) {
    }

    void HandleMethodCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/,
                          Json::Value& /*output*/) override {}

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override {
        handlers[procedure.GetProcedureName()](input);
    }

    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    std::map<std::string, notification_handler> handlers;
};

host_dispatcher::host_dispatcher() : m_implementation(std::make_unique<implementation>()) {}

host_dispatcher::~host_dispatcher() = default;

void host_dispatcher::on(const std::string& method, notification_handler handler) {
    m_implementation->protocol->AddProcedure(jsonrpc::Procedure{method, jsonrpc::PARAMS_BY_NAME, nullptr});
    m_implementation->handlers[method] = std::move(handler);
}

std::string host_dispatcher::dispatch(const std::string& body) {
    std::string response;
    try {
        m_implementation->protocol->HandleRequest(body, response);
    } catch (const Json::Exception&) {
        // The JSON reader throws if a document is nested too deeply.
        return unparsable_reply;
    }
    return response;
}

} // namespace tamarack
