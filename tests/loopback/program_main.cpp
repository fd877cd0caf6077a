// program_main.cpp: main of the GoogleTest programs that run the real program, whose path is their
// first argument.
#include <gtest/gtest.h>

#include <iostream>

#include "loopback/program_arguments.hpp"

int main(int argc, char** argv) {
  testing::InitGoogleTest(&argc, argv);
  if (argc < 2) {
    std::cerr << "usage: " << argv[0] << " PROGRAM [SIZE...]\n";
    return 2;
  }
  merlingauge::test::programArguments().assign(argv + 1, argv + argc);
  return RUN_ALL_TESTS();
}
