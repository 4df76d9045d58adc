# cw_package(NAME SOURCES ... [DEPENDS ...]): one library of the workspace.
# Its charts are copied to the share folder, where the programs read them.
function(cw_package NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_library(cw_${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(cw_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  foreach(DEP ${ARG_DEPENDS})
    target_link_libraries(cw_${NAME} PUBLIC cw_${DEP})
  endforeach()
  target_link_libraries(cw_${NAME} PRIVATE ${ARG_LIBRARIES})
  file(GLOB CHARTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/charts/*.scxml)
  foreach(CHART ${CHARTS})
    get_filename_component(FILE ${CHART} NAME)
    configure_file(${CHART} ${CW_CHART_DIR}/${FILE} COPYONLY)
  endforeach()
endfunction()

# cw_test(NAME SOURCES ... [DEPENDS ...]): one GoogleTest program.
function(cw_test NAME)
  if(NOT CW_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  foreach(DEP ${ARG_DEPENDS})
    target_link_libraries(${NAME} PRIVATE cw_${DEP})
  endforeach()
  target_compile_definitions(${NAME} PRIVATE
    CW_CHART_DIR="${CW_CHART_DIR}" CW_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    CW_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
  target_link_libraries(${NAME} PRIVATE ${ARG_LIBRARIES} gmock_main gmock gtest
                        Threads::Threads)
  add_test(NAME ${NAME} COMMAND ${NAME})
  # Random cases are the same in every run; scripts/explore.sh tries others.
  set_tests_properties(${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
