// program_main.cpp: main of the GoogleTest programs that run the real program, whose path is their
// one argument.
#include <gtest/gtest.h>

#include <iostream>

#include "loopback/program_path.hpp"

int main(int argc, char** argv) {
  testing::InitGoogleTest(&argc, argv);
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " PROGRAM\n";
    return 2;
  }
  merlingauge::test::programPath() = argv[1];
  return RUN_ALL_TESTS();
}
