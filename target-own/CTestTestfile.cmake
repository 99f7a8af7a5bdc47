# CMake generated Testfile for 
# Source directory: /work/main
# Build directory: /work/main/target-own
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
add_test([=[poplardrift_tests]=] "/work/main/target-own/bin/poplardrift_tests")
set_tests_properties([=[poplardrift_tests]=] PROPERTIES  _BACKTRACE_TRIPLES "/work/main/CMakeLists.txt;80;add_test;/work/main/CMakeLists.txt;0;")
add_test([=[sockets]=] "/work/main/tests/sockets")
set_tests_properties([=[sockets]=] PROPERTIES  ENVIRONMENT "POPLARDRIFT_BIN=/work/main/target-own/bin" _BACKTRACE_TRIPLES "/work/main/CMakeLists.txt;81;add_test;/work/main/CMakeLists.txt;0;")
