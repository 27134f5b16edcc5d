ww_add_test(soak_test ww_platform_lib ww_soak_lib)
# Short soaks of the real programs with fixed seeds: seeds 1 and 4 start with a
# series of changes, seed 2 with prompts that crash runners.
foreach(seed 1 2 4)
  add_test(NAME soak_seed_${seed} COMMAND ww_soak --seed=${seed} --duration=18s
    --programs=${CMAKE_BINARY_DIR}/bin)
  set_tests_properties(soak_seed_${seed} PROPERTIES TIMEOUT 300 LABELS slow
    RUN_SERIAL TRUE)
endforeach()
# A host kept an old table while handshakes with control hosts hung.
add_test(NAME soak_seed_8004 COMMAND ww_soak --seed=8004 --duration=32s
  --programs=${CMAKE_BINARY_DIR}/bin)
set_tests_properties(soak_seed_8004 PROPERTIES TIMEOUT 300 LABELS slow
  RUN_SERIAL TRUE)
