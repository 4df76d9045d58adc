find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost REQUIRED COMPONENTS program_options)
find_package(spdlog REQUIRED)
if(CW_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()
find_package(nng REQUIRED)
pkg_check_modules(ULFIUS REQUIRED IMPORTED_TARGET libulfius)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(PUGIXML REQUIRED IMPORTED_TARGET pugixml)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# prometheus-cpp-dev conflicts with libulfius-dev over curl's headers, so
# scripts/setup.sh unpacks its headers and the installed library is linked.
set(CW_PROMETHEUS_FOLDER ${CMAKE_SOURCE_DIR}/.cache/prometheus
    CACHE PATH "Where the headers of prometheus-cpp are unpacked")
set(CW_PROMETHEUS_INCLUDE ${CW_PROMETHEUS_FOLDER}/usr/include)
if(NOT EXISTS ${CW_PROMETHEUS_INCLUDE}/prometheus/registry.h)
  message(FATAL_ERROR "prometheus-cpp headers missing: run scripts/setup.sh")
endif()
find_file(PROMETHEUS_CORE libprometheus-cpp-core.so.1.0
          PATHS /usr/lib /usr/lib/${CMAKE_CXX_LIBRARY_ARCHITECTURE}
                /usr/lib/x86_64-linux-gnu /usr/lib/aarch64-linux-gnu REQUIRED)
add_library(prometheus_core SHARED IMPORTED)
set_target_properties(prometheus_core PROPERTIES
  IMPORTED_LOCATION ${PROMETHEUS_CORE}
  INTERFACE_INCLUDE_DIRECTORIES ${CW_PROMETHEUS_INCLUDE})
