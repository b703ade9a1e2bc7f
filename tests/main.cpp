#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>

#include "runtime/event_loop.hpp"

int main(int argc, char** argv) {
  testing::InitGoogleTest(&argc, argv);
  zinccleat::runtime::EventLoop loop;
  const int rc = RUN_ALL_TESTS();
  // Skips destructors: an ordinary exit would wait for fibers that are still blocked on connections of fake runners.
  std::fflush(nullptr);
  ::_exit(rc);
}
