ww_add_test(scenario_test ww_scenario_lib)

# Each scenario runs unchanged, and once more with its planted fault, which it
# must detect. A scenario is skipped if a program that it needs is missing.
file(GLOB scenario_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/scenarios/*.scenario)
foreach(scenario_file ${scenario_files})
  get_filename_component(scenario_name ${scenario_file} NAME_WE)
  file(STRINGS ${scenario_file} program_lines REGEX "^(part|template) .*ww_[a-z]+|^run [^ ]+ ww")
  set(scenario_programs ww_scenario ww_load)
  foreach(program_line ${program_lines})
    string(REGEX MATCH "ww[a-z_]*" program "${program_line}")
    list(APPEND scenario_programs ${program})
  endforeach()
  foreach(program ${scenario_programs})
    if(NOT TARGET ${program})
      message(STATUS "scenario ${scenario_name} needs the missing ${program}")
      set(scenario_name "")
      break()
    endif()
  endforeach()
  if(scenario_name)
    add_test(NAME scenario_${scenario_name}
      COMMAND ww_scenario ${scenario_file})
    add_test(NAME scenario_${scenario_name}_planted
      COMMAND ww_scenario --planted ${scenario_file})
    set_tests_properties(scenario_${scenario_name}
      scenario_${scenario_name}_planted PROPERTIES LABELS slow TIMEOUT 300)
  endif()
endforeach()
