# Third-party libraries as imported targets under one prefix.
# Their headers are SYSTEM, so that only our own code is held to our warnings.

set(TAMARACK_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wnon-virtual-dtor -Werror)

find_path(TAMARACK_JSONCPP_INCLUDE json/json.h PATH_SUFFIXES jsoncpp REQUIRED)
find_library(TAMARACK_JSONCPP_LIBRARY jsoncpp REQUIRED)
add_library(tamarack_jsoncpp INTERFACE)
target_include_directories(tamarack_jsoncpp SYSTEM INTERFACE ${TAMARACK_JSONCPP_INCLUDE})
target_link_libraries(tamarack_jsoncpp INTERFACE ${TAMARACK_JSONCPP_LIBRARY})

find_library(TAMARACK_JSONRPC_COMMON jsonrpccpp-common REQUIRED)
find_library(TAMARACK_JSONRPC_SERVER jsonrpccpp-server REQUIRED)
find_library(TAMARACK_JSONRPC_CLIENT jsonrpccpp-client REQUIRED)
add_library(tamarack_jsonrpc INTERFACE)
target_link_libraries(tamarack_jsonrpc INTERFACE
  ${TAMARACK_JSONRPC_SERVER} ${TAMARACK_JSONRPC_CLIENT} ${TAMARACK_JSONRPC_COMMON} tamarack_jsoncpp)

find_library(TAMARACK_XXHASH xxhash REQUIRED)
add_library(tamarack_xxhash INTERFACE)
target_link_libraries(tamarack_xxhash INTERFACE ${TAMARACK_XXHASH})

# easylogging++ is one header and one source file; every user needs the same definitions.
find_path(TAMARACK_EASYLOGGING_INCLUDE easylogging++.h REQUIRED)
add_library(tamarack_easylogging STATIC ${TAMARACK_EASYLOGGING_INCLUDE}/easylogging++.cc)
target_include_directories(tamarack_easylogging SYSTEM PUBLIC ${TAMARACK_EASYLOGGING_INCLUDE})
target_compile_definitions(tamarack_easylogging PUBLIC
  ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_link_libraries(tamarack_easylogging PUBLIC Threads::Threads)
